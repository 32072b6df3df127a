"""Benchmarks of routing, admission and scheduling: see docs/BENCH.md."""
