"""Structured logs: one JSON object a line, short sentences, a prefix for each part."""

import logging
import os
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from wagtailcleat.ids import NodeId


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Puts the fixed prefix of a part before each sentence."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Prefix the sentence; keyword `extra` becomes fields of the line."""
        return f"{self.extra['prefix']}: {msg}" if self.extra else msg, kwargs


def part_logger(prefix: str) -> PartLogger:
    """Return the logger of one part, for example `routing`."""
    return PartLogger(logging.getLogger(f"wagtailcleat.{prefix}"), {"prefix": prefix})


def start_logging(node: NodeId, *, level: str = "INFO") -> None:
    """Write JSON lines to standard error, each with the node's id."""
    _start(logging.StreamHandler(sys.stderr), node, level)


def start_bounded_logging(node: NodeId, *, level: str = "INFO") -> None:
    """Write JSON lines to standard output; lines that nobody reads are dropped."""
    _start(_OUTPUT, node, level)


def lines_dropped() -> int:
    """Return how many lines were dropped because nobody read them in time."""
    return _OUTPUT.dropped


class BoundedOutput(logging.Handler):
    """Writes lines to a descriptor and never waits for its reader.

    A reader that stalls fills the pipe; a write would then stop the whole process, and
    every request with it. What does not fit is dropped and counted, and the count is
    written once there is room again.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`."""
        super().__init__()
        self.dropped = 0
        self._untold = 0
        self._descriptor = descriptor
        self._rest = b""
        self._prepared = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self._prepared:
            os.set_blocking(self._descriptor, False)
            self._prepared = True
        if not self._write(self._rest):
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            told = f'{{"message": "logs: Lines were dropped", "lines": {self._untold}}}'
            self._untold = 0
            self._write(told.encode() + b"\n")
        self._write(self._rest + self.format(record).encode() + b"\n")

    def _write(self, data: bytes) -> bool:
        """Write what fits and keep the rest; tell whether all of it was written."""
        try:
            written = os.write(self._descriptor, data) if data else 0
        except OSError:
            # A full pipe, or one whose reader is gone.
            written = 0
        self._rest = data[written:]
        return not self._rest


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
