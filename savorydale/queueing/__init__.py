"""The order in which tasks that are ready are placed."""
