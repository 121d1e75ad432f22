"""Reads the logs of several processes: timelines of jobs, and reports on losses."""
