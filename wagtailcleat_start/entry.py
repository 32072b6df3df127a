"""Start `wagtailcleat.cluster.entry_app`."""

import signal
from typing import NoReturn


def main() -> NoReturn:
    """Run the program; SIGHUP has no effect until its handler is installed."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from wagtailcleat.cluster.entry_app import main as run
    from wagtailcleat.process import end_process

    end_process(run())


if __name__ == "__main__":
    main()
