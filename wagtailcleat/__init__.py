"""A scheduler for colocated latency-critical and batch work."""
