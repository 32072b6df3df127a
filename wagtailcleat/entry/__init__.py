"""The program on entry VMs: HTTP for callers and operators."""
