"""Placement of tasks on workers and throttling of backfill beside services."""
