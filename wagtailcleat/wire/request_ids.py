"""Request ids: who numbered a request, and where it may run.

A plain id is `ENTRY.INCARNATION.rN`: the entry's Nth request. A keyed id, given
out beforehand, is `AGENT.INCARNATION.ENTRY.INCARNATION.kN.MAC`: it names the one
agent incarnation where it may run, so it runs at most once through whichever
entry it comes. The MAC shows that an entry of this deployment gave it out.

Numbers only grow within a series. So an agent that has forgotten a request still
knows that it, and all before it in its series, must not be run any more.
"""

import hmac
from dataclasses import dataclass

from wagtailcleat.ids import Incarnation, NodeId, RequestId

MAC_HEX_DIGITS = 24
KEYED_FIELDS = 6
MAX_ID_LENGTH = 300


@dataclass(frozen=True)
class Home:
    """The agent incarnation where a keyed request may run."""

    node: NodeId
    incarnation: Incarnation


class RequestIds:
    """Numbers one entry's requests; gives out keys and checks them."""

    def __init__(self, node: NodeId, incarnation: Incarnation, secret: str) -> None:
        """Start numbering at one; `secret` is the cluster's."""
        self._me = f"{node}.{incarnation}"
        self._secret = secret.encode()
        self._plain = 0
        self._keyed = 0

    def plain(self) -> RequestId:
        """Return the id of a request that is sent once."""
        self._plain += 1
        return RequestId(f"{self._me}.r{self._plain}")

    def keyed(self, home: Home) -> RequestId:
        """Return an id that a caller may use repeatedly."""
        self._keyed += 1
        head = f"{home.node}.{home.incarnation}.{self._me}.k{self._keyed}"
        return RequestId(f"{head}.{self._mac(head)}")

    def home(self, key: str) -> Home | None:
        """Return where a key may run, or nothing where none of us gave it out."""
        if len(key) > MAX_ID_LENGTH or not key.isascii():
            return None
        head, _, mac = key.rpartition(".")
        fields = key.split(".")
        if len(fields) != KEYED_FIELDS:
            return None
        if not hmac.compare_digest(mac, self._mac(head)):
            return None
        return Home(NodeId(fields[0]), Incarnation(int(fields[1])))

    def _mac(self, head: str) -> str:
        mac = hmac.digest(self._secret, f"request-id|{head}".encode(), "sha256")
        return mac.hex()[:MAC_HEX_DIGITS]


def series_and_number(request: RequestId) -> tuple[str, int] | None:
    """Return the series of an id and its number there, if it has any."""
    series, _, last = request.rpartition(".")
    if not last.startswith("r"):
        series, _, last = series.rpartition(".")
    kind, number = last[:1], last[1:]
    if not number.isdecimal() or len(number) > 18:
        return None
    return f"{series}.{kind}", int(number)


def is_keyed(request: RequestId) -> bool:
    """Tell whether an id was given out beforehand."""
    found = series_and_number(request)
    return found is not None and found[0].endswith(".k")
