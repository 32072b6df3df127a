"""The operators' inventory and rules, and their spread."""
