"""The exit codes and the entry point that the three command lines share.

The programs are wagtailcleat, wagtailcleat-entry and wagtailcleat-agent. They exit with
0 on success, 2 on wrong usage, 130 when interrupted, or the code of their command.
"""

import sys

from cyclopts import App, CycloptsError

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


def run_program(app: App) -> None:
    """Run a program's command and exit with its code, or with 2 on wrong usage."""
    try:
        code = app(exit_on_error=False, result_action="return_value")
    except CycloptsError:
        sys.exit(EXIT_USAGE)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(code if isinstance(code, int) else EXIT_OK)
