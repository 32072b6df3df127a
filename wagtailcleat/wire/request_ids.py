"""Request ids: which entry numbered a request, and where it may run.

A plain id is `ENTRY.INCARNATION.rN`: the entry's Nth request. A keyed id, issued in
advance as an idempotency key, is `AGENT.INCARNATION.ENTRY.INCARNATION.kN.MAC`. It names
the one agent incarnation where the request may run, so that it runs at most once,
whichever entry forwards it. The MAC proves that an entry of this deployment issued it.

A series is the ids of one entry incarnation and one kind; a series of keyed ids also
belongs to one agent incarnation. The numbers of a series only grow. So an agent that
has forgotten a request still knows that this request, and all before it in its series,
must not be run any more.
"""

import hmac
from dataclasses import dataclass

from wagtailcleat.ids import Incarnation, NodeId, RequestId

MAC_HEX_DIGITS = 24
KEYED_FIELDS = 6
MAX_ID_LENGTH = 300
"""In characters; longer keys are rejected before their MAC is computed."""


@dataclass(frozen=True)
class AgentIncarnation:
    """The agent incarnation where a keyed request may run."""

    node: NodeId
    incarnation: Incarnation


class RequestIds:
    """Numbers one entry's requests; issues keyed ids and verifies them."""

    def __init__(self, node: NodeId, incarnation: Incarnation, secret: str) -> None:
        """Start numbering at one; `secret` is the cluster's."""
        self._prefix = f"{node}.{incarnation}"
        self._secret = secret.encode()
        self._plain_count = 0
        self._keyed_count = 0

    def next_plain(self) -> RequestId:
        """Return the id of a request that is sent once."""
        self._plain_count += 1
        return RequestId(f"{self._prefix}.r{self._plain_count}")

    def issue_keyed(self, bound: AgentIncarnation) -> RequestId:
        """Return an id for `bound` alone, with which a caller may repeat a request."""
        self._keyed_count += 1
        signed = f"{bound.node}.{bound.incarnation}.{self._prefix}.k{self._keyed_count}"
        return RequestId(f"{signed}.{self._mac(signed)}")

    def bound_incarnation(self, key: str) -> AgentIncarnation | None:
        """Return where a keyed id may run; None if this deployment did not issue it."""
        if len(key) > MAX_ID_LENGTH or not key.isascii():
            return None
        signed, _, mac = key.rpartition(".")
        fields = key.split(".")
        if len(fields) != KEYED_FIELDS:
            return None
        if not hmac.compare_digest(mac, self._mac(signed)):
            return None
        return AgentIncarnation(NodeId(fields[0]), Incarnation(int(fields[1])))

    def _mac(self, signed: str) -> str:
        mac = hmac.digest(self._secret, f"request-id|{signed}".encode(), "sha256")
        return mac.hex()[:MAC_HEX_DIGITS]


def series_and_number(request: RequestId) -> tuple[str, int] | None:
    """Return the series of an id and its number there; None if it has none.

    A number has at most 18 digits.
    """
    series, _, last = request.rpartition(".")
    # A MAC is hexadecimal, so it never starts with "r".
    if not last.startswith("r"):
        series, _, last = series.rpartition(".")
    kind, number = last[:1], last[1:]
    if not number.isdecimal() or len(number) > 18:
        return None
    return f"{series}.{kind}", int(number)


def is_keyed(request: RequestId) -> bool:
    """Return whether an id is keyed: issued in advance."""
    found = series_and_number(request)
    return found is not None and found[0].endswith(".k")
