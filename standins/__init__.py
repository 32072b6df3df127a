"""Stand-ins (test doubles) for the platform, and harnesses that run programs on them.

The tests, the demo, the benchmarks and the soak runs use them. Most stand-ins run as
processes of their own; the `in_process_*` modules run in one process on virtual time.
"""
