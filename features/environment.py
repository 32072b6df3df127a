"""Hooks of behave: each scenario has its own cleanups."""

from standins.processes import let_children_receive_signals


def before_all(context):
    """Start programs as if behave ran in the foreground, whoever started it."""
    let_children_receive_signals()
