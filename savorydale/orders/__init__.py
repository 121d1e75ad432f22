"""Orders to workers, and what workers report of their runs."""
