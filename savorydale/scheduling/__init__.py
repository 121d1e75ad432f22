"""Schedules tasks: when they are due, where they run and under which lease."""
