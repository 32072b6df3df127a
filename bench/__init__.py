"""Measures of the decisions under load and faults: see docs/BENCH.md."""
