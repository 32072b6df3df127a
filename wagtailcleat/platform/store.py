"""Client of the platform's key-value store (the JSON form of the etcd v3 API).

Outcomes are values. A write whose answer is lost is `Unknown`: it may have taken
effect, now or later. Every transaction here carries compares that hold at most
once, so repeating it is safe, and reading back tells whose write it was.
"""

import asyncio
import base64
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wagtailcleat.clock import Clock
from wagtailcleat.curl import never_repeat
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.circuit import Circuit, TokenBucket
from wagtailcleat.storage import (
    Absent,
    Compare,
    Conflict,
    Event,
    Found,
    Leased,
    LeaseGone,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    Written,
)

log = part_logger("store")

CONNECT_SECONDS = 1.0
CALL_SECONDS = 2.0
MAX_CLIENTS = 32
MAX_QUEUED_SECONDS = 2.0
RENEWALS_PER_SECOND = 10.0
HTTP_FAILED = 599
NEVER_CONNECTED = (
    pycurl.E_COULDNT_RESOLVE_PROXY,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
)


class Store:
    """The store, with a budget of calls and a circuit breaker of its own."""

    def __init__(
        self,
        urls: list[str],
        *,
        clock: Clock,
        reads_per_second: float = 50.0,
        writes_per_second: float = 30.0,
        call_seconds: float = CALL_SECONDS,
        seed: str = "",
    ) -> None:
        """Call the first of `urls` that answers.

        Parameters: budgets are for this process alone.
        """
        self.calls = 0
        self.failures = 0
        self._urls = urls
        self._clock = clock
        self._call_seconds = call_seconds
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        self._reads = TokenBucket(reads_per_second, reads_per_second)
        self._writes = TokenBucket(writes_per_second, writes_per_second)
        self._renewals = TokenBucket(RENEWALS_PER_SECOND, RENEWALS_PER_SECOND)
        self._circuit = Circuit(random.Random(f"{seed}/circuit"))

    def __repr__(self) -> str:
        """Show where the store is and whether it answers."""
        return f"<Store {self._urls[0]} {'up' if self.up else 'down'}>"

    @property
    def up(self) -> bool:
        """Whether the last call was answered."""
        return self._circuit.down_since is None

    @property
    def holding_back(self) -> bool:
        """Whether calls are held back but for probes: the store has an outage."""
        return self._circuit.is_open()

    def down_for(self, now: float) -> float:
        """Return for how many seconds the store has not answered."""
        since = self._circuit.down_since
        return 0.0 if since is None else now - since

    def dump(self) -> dict[str, object]:
        """Return the client's state for the state dump."""
        return {
            "urls": self._urls,
            "up": self.up,
            "calls": self.calls,
            "failures": self.failures,
            "down_seconds": self.down_for(self._clock()),
        }

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    async def get(self, key: str) -> Found | Absent | Unavailable:
        """Return the value of `key`."""
        answer = await self._call("/v3/kv/range", {"key": _b64(key)}, self._reads)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        kvs = answer.get("kvs", [])
        if not kvs:
            return Absent(_revision(answer))
        return _found(kvs[0])

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all keys that begin with `prefix`."""
        body = {"key": _b64(prefix), "range_end": _b64(_after(prefix))}
        answer = await self._call("/v3/kv/range", body, self._reads)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        found = [_found(kv) for kv in answer.get("kvs", [])]
        return Listing(found, _revision(answer))

    async def write(self, txn: Txn) -> Written | Conflict | Unknown | Unavailable:
        """Carry out `txn`, all of it or nothing."""
        answer = await self._call("/v3/kv/txn", _txn_body(txn), self._writes)
        if not isinstance(answer, dict):
            return answer
        return Written(_revision(answer)) if answer.get("succeeded") else Conflict()

    async def grant(self, seconds: int) -> Leased | Unavailable:
        """Take a lease of `seconds`."""
        answer = await self._call("/v3/lease/grant", {"TTL": seconds}, self._writes)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        return Leased(str(answer["ID"]), float(answer["TTL"]))

    async def keep_alive(self, lease: str) -> Leased | LeaseGone | Unavailable:
        """Renew a lease; the caller counts its seconds from before the call."""
        # Renewals wait for no token: after an outage they go before all else.
        answer = await self._call("/v3/lease/keepalive", {"ID": lease}, self._renewals)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        left = float(answer.get("result", {}).get("TTL", 0))
        return Leased(lease, left) if left > 0 else LeaseGone()

    async def revoke(self, lease: str) -> None:
        """Give a lease back, with the keys bound to it."""
        await self._call("/v3/lease/revoke", {"ID": lease}, self._writes)

    async def watch(
        self, prefix: str, start_revision: int, on_event: Callable[[Event], None]
    ) -> None:
        """Call `on_event` for each change under `prefix` until the watch is cut."""
        buffered = bytearray()

        def on_bytes(data: bytes) -> None:
            buffered.extend(data)
            while (end := buffered.find(b"\n")) >= 0:
                line = bytes(buffered[:end])
                del buffered[: end + 1]
                if line.strip():
                    _events(json.loads(line), on_event)

        create = {
            "key": _b64(prefix),
            "range_end": _b64(_after(prefix)),
            "start_revision": str(start_revision),
        }
        await asyncio.sleep(self._reads.wait(self._clock()))
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=1)
        self.calls += 1
        try:
            await client.fetch(
                HTTPRequest(
                    self._urls[0] + "/v3/watch",
                    method="POST",
                    body=json.dumps({"create_request": create}),
                    connect_timeout=CONNECT_SECONDS,
                    request_timeout=0,
                    streaming_callback=on_bytes,
                )
            )
        except (HTTPClientError, OSError, ValueError) as error:
            log.info("A watch ended", extra={"why": str(error)})
        finally:
            client.close()

    async def _call(
        self, path: str, body: dict[str, Any], bucket: TokenBucket
    ) -> dict[str, Any] | Unknown | Unavailable:
        if not self._circuit.allows(self._clock()):
            return Unavailable("the store is not answering")
        pause = bucket.wait(self._clock())
        if pause > MAX_QUEUED_SECONDS:
            bucket.tokens += 1
            return Unavailable("this process has used up its calls to the store")
        if pause > 0:
            await asyncio.sleep(pause)
        self.calls += 1
        request = HTTPRequest(
            self._urls[0] + path,
            method="POST",
            body=json.dumps(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_SECONDS,
            request_timeout=self._call_seconds,
            prepare_curl_callback=never_repeat if bucket is self._writes else None,
        )
        return await self._fetch(request)

    async def _fetch(
        self, request: HTTPRequest
    ) -> dict[str, Any] | Unknown | Unavailable:
        try:
            response = await self._client.fetch(request, raise_error=False)
            if response.code == 200:
                answer = json.loads(response.body)
                self._answered()
                return answer  # type: ignore[no-any-return]
        except (HTTPClientError, OSError, ValueError) as error:
            return self._failed(Unknown(str(error)))
        # Only a refusal of the store's own, or a connection that never opened, says
        # that nothing was written. A connection reset or a gateway's 5xx may hide
        # an answer to a write that took effect.
        if _refused(response) or _never_connected(response.error):
            return self._failed(Unavailable(f"{response.code} {response.reason}"))
        return self._failed(Unknown(str(response.error)))

    def _answered(self) -> None:
        # All processes return at once after an outage. One that starts from empty
        # buckets asks at its rate, and not a second's worth in one burst.
        if self._circuit.is_open():
            self._reads.drain()
            self._writes.drain()
        self._circuit.succeeded()

    def _failed(self, outcome: Unknown | Unavailable) -> Unknown | Unavailable:
        self.failures += 1
        self._circuit.failed(self._clock())
        return outcome


Fetch = Callable[[HTTPRequest], Awaitable[Any]]


def _refused(response: HTTPResponse) -> bool:
    if response.code == HTTP_FAILED:
        return False
    try:
        body = json.loads(response.body or b"")
    except ValueError:
        return False
    return isinstance(body, dict) and "code" in body


def _never_connected(error: BaseException | None) -> bool:
    return getattr(error, "errno", None) in NEVER_CONNECTED


def _b64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _after(prefix: str) -> bytes:
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _revision(answer: dict[str, Any]) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _found(kv: dict[str, Any]) -> Found:
    return Found(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv.get("mod_revision", 0)),
    )


def _txn_body(txn: Txn) -> dict[str, Any]:
    success: list[dict[str, Any]] = []
    for key in txn.deletes:
        success.append({"request_delete_range": {"key": _b64(key)}})
    for first, end in txn.delete_ranges:
        span = {"key": _b64(first), "range_end": _b64(end)}
        success.append({"request_delete_range": span})
    for key, value in txn.puts.items():
        success.append({"request_put": {"key": _b64(key), "value": _b64(value)}})
    for key, value in txn.leased_puts.items():
        put = {"key": _b64(key), "value": _b64(value), "lease": txn.lease}
        success.append({"request_put": put})
    compares = [_compare(compare) for compare in txn.compares]
    return {"compare": compares, "success": success, "failure": []}


def _compare(compare: Compare) -> dict[str, Any]:
    key = _b64(compare.key)
    if compare.absent:
        return {
            "key": key,
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }
    if compare.value is not None:
        value = _b64(compare.value)
        return {"key": key, "target": "VALUE", "result": "EQUAL", "value": value}
    revision = str(compare.mod_revision or 0)
    return {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision}


def _events(line: dict[str, Any], on_event: Callable[[Event], None]) -> None:
    for event in line.get("result", {}).get("events", []):
        found = _found(event["kv"])
        deleted = event.get("type") == "DELETE"
        value = None if deleted else found.value
        on_event(Event(found.key, value, found.mod_revision))
