"""How the platform starts the programs of `wagtailcleat.cluster`.

SIGHUP ends a process that has no handler for it, and importing the programs takes a
second where the processor is shared. So this package imports nothing before the signal
is ignored; the programs read their settings after that, and install a handler.
"""
