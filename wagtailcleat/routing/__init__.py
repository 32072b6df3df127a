"""Decisions on service requests."""
