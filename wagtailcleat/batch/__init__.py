"""Decisions on batch jobs."""
