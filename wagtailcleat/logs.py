"""Structured logs: one JSON object a line, short sentences, a prefix for each part."""

import logging
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
    handler = logging.StreamHandler(sys.stderr)
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
