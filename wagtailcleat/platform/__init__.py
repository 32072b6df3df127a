"""Clients of the platform's store and worker."""
