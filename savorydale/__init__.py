"""Scheduler for latency-critical services and batch jobs on the same VMs."""

__version__ = "0.1.0"
