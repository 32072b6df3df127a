"""Decisions on jobs of several steps: no network, the present time an argument.

`Book` holds the state of all jobs, `place` decides what starts where.
"""
