"""A randomized soak test: the real programs under injected faults.

    python -m soak.run --seeds 1-50

`deployment` starts the programs behind links, `faults` injects faults, `callers` submit
jobs, and `checker` compares what callers and workers observed with the guarantees.
"""
