"""Routing of service requests: choice of endpoint, admission and retries."""
