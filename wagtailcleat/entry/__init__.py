"""The program on entry VMs: a reverse proxy for callers, and the admin API."""
