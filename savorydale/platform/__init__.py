"""Adapter to the users' platform: its store, workers, callers and VM list."""
