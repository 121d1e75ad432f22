"""HTTP interface for callers, operators and the load balancer."""
