"""Durable rows of jobs, their data model, and their state while they run."""
