"""Adapter to the users' platform: its store, workers, policy service and callers."""
