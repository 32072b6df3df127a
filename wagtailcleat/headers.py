"""HTTP headers of callers' requests and answers, and which of them are forwarded."""

from collections.abc import Iterable

REQUEST_ID = "Wagtailcleat-Request-Id"
DEADLINE_MS = "Wagtailcleat-Deadline-Ms"
IDEMPOTENT = "Wagtailcleat-Idempotent"
IDEMPOTENCY_KEY = "Idempotency-Key"
LAST_EVENT_ID = "Last-Event-ID"
EVENT_STREAM = "text/event-stream"

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
SET_PER_HOP = frozenset({"content-length", "host"})


def forwarded(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward, without those of one connection only."""
    pairs = list(headers)
    connection_headers = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | SET_PER_HOP | connection_headers
    return [(key, value) for key, value in pairs if key.lower() not in dropped]


def is_watch(method: str, headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether a request asks for an event stream."""
    return method == "GET" and any(
        key.lower() == "accept" and EVENT_STREAM in value.lower()
        for key, value in headers
    )
