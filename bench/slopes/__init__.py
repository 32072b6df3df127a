"""Measured slopes: what one more member, entry, stream or task costs a daemon."""
