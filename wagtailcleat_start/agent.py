"""Start `wagtailcleat.cluster.agent_app`."""

import signal
import sys


def main() -> int:
    """Run the program; SIGHUP has no effect until its handler is installed."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from wagtailcleat.cluster.agent_app import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
