"""Routing of callers' requests: load balancing, limits, retries and idempotency."""
