"""Hooks of behave: each scenario has its own cleanups."""
