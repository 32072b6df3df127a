"""Typed messages and streams between the project's processes."""
