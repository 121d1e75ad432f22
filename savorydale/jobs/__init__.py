"""What a job is, its durable rows, and its state while it runs."""
