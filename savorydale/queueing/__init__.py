"""In which order tasks that are ready are placed."""
