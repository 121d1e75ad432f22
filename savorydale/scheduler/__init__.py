"""Scheduling of all jobs by the entry that holds the lease."""
