"""Structured logs: one JSON object per line, each message prefixed with its part."""

import logging
import os
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from wagtailcleat.ids import NodeId


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """A logger that puts the fixed prefix of a part before each message."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Prefix the message; the keyword `extra` becomes fields of the line."""
        return f"{self.extra['prefix']}: {msg}" if self.extra else msg, kwargs


def part_logger(prefix: str) -> PartLogger:
    """Return the logger of one part of the program, for example `routing`."""
    return PartLogger(logging.getLogger(f"wagtailcleat.{prefix}"), {"prefix": prefix})


def start_logging(node: NodeId, *, level: str = "INFO") -> None:
    """Write JSON lines to standard error, each with the node's id."""
    _start(logging.StreamHandler(sys.stderr), node, level)


def start_bounded_logging(node: NodeId, *, level: str = "INFO") -> None:
    """Write JSON lines to standard output; drop lines while its reader stalls."""
    _start(_OUTPUT, node, level)


def lines_dropped() -> int:
    """Return the number of lines dropped because the reader of the output stalled."""
    return _OUTPUT.dropped


class BoundedOutput(logging.Handler):
    """A log handler that writes to a file descriptor without blocking.

    A reader that stalls lets the pipe fill; a blocking write would then stop the whole
    process with all its requests. Lines that do not fit are dropped and counted, and
    the count is logged once there is room again.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`."""
        super().__init__()
        self.dropped = 0
        self._unreported = 0
        self._descriptor = descriptor
        self._unwritten = b""
        self._is_nonblocking = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self._is_nonblocking:
            os.set_blocking(self._descriptor, False)
            self._is_nonblocking = True
        if not self._write(self._unwritten):
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            notice = (
                '{"message": "logs: Lines were dropped",'
                f' "lines": {self._unreported}}}'
            )
            self._unreported = 0
            self._write(notice.encode() + b"\n")
        self._write(self._unwritten + self.format(record).encode() + b"\n")

    def _write(self, data: bytes) -> bool:
        """Write what fits and store the rest; return whether all was written."""
        try:
            written = os.write(self._descriptor, data) if data else 0
        except OSError:
            # The pipe is full or its reader has closed it.
            written = 0
        self._unwritten = data[written:]
        return not self._unwritten


_OUTPUT = BoundedOutput(sys.__stdout__.fileno() if sys.__stdout__ else 1)


def _start(handler: logging.Handler, node: NodeId, level: str) -> None:
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
