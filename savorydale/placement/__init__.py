"""Which worker runs a task, and how fast backfill may work beside services."""
