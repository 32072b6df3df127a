"""The operators' inventory and rules: checks, storage and propagation."""
