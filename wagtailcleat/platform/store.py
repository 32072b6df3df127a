"""Client of an etcd-compatible key-value store, over the JSON gateway of the v3 API.

The configuration, batch and entry packages use it. Calls return the outcomes of
`wagtailcleat.storage`. A write whose answer is lost is `Unknown`: it may have taken
effect, or may do so later. The compares of each transaction can succeed only once, so
it is safe to repeat it, and reading the keys shows whose write took effect.
"""

import asyncio
import base64
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pycurl
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wagtailcleat.clock import Clock
from wagtailcleat.curl import CurlClient, never_repeat
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.circuit import CircuitBreaker, TokenBucket
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

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
MAX_CLIENTS = 32
MAX_RATE_LIMIT_WAIT_SECONDS = 2.0
RENEWALS_PER_SECOND = 10.0
NO_RESPONSE_CODE = 599
REJECTED_CODES = (3, 5, 7, 8, 9, 11, 12, 16)
"""gRPC codes of calls that the store rejected, so that nothing was written.

The others, such as 4 (deadline exceeded) and 14 (unavailable), are also returned for
writes that may still take effect: "etcdserver: request timed out" has code 14.
"""
NO_LEADER_MESSAGE = "etcdserver: no leader"
"""Message of calls that the store rejected before it proposed them; it has code 14."""
CONNECT_ERRNOS = (
    pycurl.E_COULDNT_RESOLVE_PROXY,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
)


class Store:
    """Client of the store with rate limits and a circuit breaker of its own."""

    def __init__(
        self,
        urls: list[str],
        *,
        clock: Clock,
        reads_per_second: float = 50.0,
        writes_per_second: float = 30.0,
        call_seconds: float = CALL_TIMEOUT_SECONDS,
        seed: str = "",
    ) -> None:
        """Create a client of the store at the first of `urls`.

        Parameters: the rate limits apply to this process alone; `call_seconds` limits
        a call; `seed` makes the jitter of the circuit breaker's backoff reproducible.
        """
        self.calls = 0
        self.failures = 0
        self._urls = urls
        self._clock = clock
        self._call_seconds = call_seconds
        self._client = CurlClient(force_instance=True, max_clients=MAX_CLIENTS)
        self._reads = TokenBucket(reads_per_second, reads_per_second)
        self._writes = TokenBucket(writes_per_second, writes_per_second)
        self._renewals = TokenBucket(RENEWALS_PER_SECOND, RENEWALS_PER_SECOND)
        self._circuit_breaker = CircuitBreaker(random.Random(f"{seed}/circuit"))

    def __repr__(self) -> str:
        """Return a text with the address and whether the store answers."""
        return f"<Store {self._urls[0]} {'up' if self.up else 'down'}>"

    @property
    def up(self) -> bool:
        """Whether the last call was answered."""
        return self._circuit_breaker.down_since is None

    @property
    def is_circuit_open(self) -> bool:
        """Whether the store has an outage, so that only probes are sent."""
        return self._circuit_breaker.is_open()

    def down_for(self, now: float) -> float:
        """Return the seconds since the first failed call; 0 while the store is up."""
        since = self._circuit_breaker.down_since
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
        """Return the value and revision of `key`."""
        answer = await self._call(
            "/v3/kv/range", {"key": _base64_text(key)}, self._reads
        )
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        kvs = answer.get("kvs", [])
        if not kvs:
            return Absent(_revision(answer))
        return _found(kvs[0])

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all keys that begin with `prefix`, as one snapshot."""
        body = {
            "key": _base64_text(prefix),
            "range_end": _base64_text(_range_end(prefix)),
        }
        answer = await self._call("/v3/kv/range", body, self._reads)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        found = [_found(kv) for kv in answer.get("kvs", [])]
        return Listing(found, _revision(answer))

    async def write(self, txn: Txn) -> Written | Conflict | Unknown | Unavailable:
        """Carry out `txn` atomically."""
        answer = await self._call("/v3/kv/txn", _txn_body(txn), self._writes)
        if not isinstance(answer, dict):
            return answer
        return Written(_revision(answer)) if answer.get("succeeded") else Conflict()

    async def grant(self, seconds: int) -> Leased | Unavailable:
        """Acquire a lease of `seconds`."""
        answer = await self._call("/v3/lease/grant", {"TTL": seconds}, self._writes)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        return Leased(str(answer["ID"]), float(answer["TTL"]))

    async def keep_alive(self, lease: str) -> Leased | LeaseGone | Unavailable:
        """Renew a lease.

        The caller must count the returned seconds from before the call was sent.
        """
        # Renewals have a rate limit of their own: after an outage they must not wait
        # behind other calls.
        answer = await self._call("/v3/lease/keepalive", {"ID": lease}, self._renewals)
        if not isinstance(answer, dict):
            return Unavailable(answer.reason)
        seconds_left = float(answer.get("result", {}).get("TTL", 0))
        return Leased(lease, seconds_left) if seconds_left > 0 else LeaseGone()

    async def revoke(self, lease: str) -> None:
        """Revoke a lease; the store deletes the keys that are attached to it."""
        await self._call("/v3/lease/revoke", {"ID": lease}, self._writes)

    async def watch(
        self, prefix: str, start_revision: int, on_event: Callable[[Event], None]
    ) -> None:
        """Call `on_event` for each change under `prefix` until the watch ends."""
        buffered = bytearray()

        def on_chunk(data: bytes) -> None:
            buffered.extend(data)
            while (end := buffered.find(b"\n")) >= 0:
                line = bytes(buffered[:end])
                del buffered[: end + 1]
                if line.strip():
                    _dispatch_events(json.loads(line), on_event)

        create = {
            "key": _base64_text(prefix),
            "range_end": _base64_text(_range_end(prefix)),
            "start_revision": str(start_revision),
        }
        await asyncio.sleep(self._reads.reserve(self._clock()))
        client = CurlClient(force_instance=True, max_clients=1)
        self.calls += 1
        try:
            await client.fetch(
                HTTPRequest(
                    self._urls[0] + "/v3/watch",
                    method="POST",
                    body=json.dumps({"create_request": create}),
                    connect_timeout=CONNECT_TIMEOUT_SECONDS,
                    request_timeout=0,
                    streaming_callback=on_chunk,
                )
            )
        except (HTTPClientError, OSError, ValueError) as error:
            log.info("The watch on the store ended", extra={"why": str(error)})
        finally:
            client.close()

    async def _call(
        self, path: str, body: dict[str, Any], bucket: TokenBucket
    ) -> dict[str, Any] | Unknown | Unavailable:
        if not self._circuit_breaker.allow(self._clock()):
            return Unavailable("the store is not answering")
        wait_seconds = bucket.reserve(self._clock())
        if wait_seconds > MAX_RATE_LIMIT_WAIT_SECONDS:
            bucket.tokens += 1
            return Unavailable("this process has used up its calls to the store")
        if wait_seconds > 0:
            await asyncio.sleep(wait_seconds)
        self.calls += 1
        request = HTTPRequest(
            self._urls[0] + path,
            method="POST",
            body=json.dumps(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
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
                self._record_success()
                return answer  # type: ignore[no-any-return]
        except (HTTPClientError, OSError, ValueError) as error:
            return self._record_failure(Unknown(str(error)))
        # Only a rejection by the store itself, or a connection that was never opened,
        # proves that nothing was written. After a connection reset, a gateway's 5xx or
        # a time-out within the store, the write may have taken effect or may do so.
        if _is_rejection(response) or _is_connect_error(response.error):
            return self._record_failure(
                Unavailable(f"{response.code} {response.reason}")
            )
        return self._record_failure(Unknown(str(response.error)))

    def _record_success(self) -> None:
        # After an outage all processes call the store again at once. With nearly empty
        # buckets, each calls at its rate instead of sending a burst of one second's
        # calls.
        if self._circuit_breaker.is_open():
            self._reads.discard_burst()
            self._writes.discard_burst()
        self._circuit_breaker.record_success()

    def _record_failure(self, outcome: Unknown | Unavailable) -> Unknown | Unavailable:
        self.failures += 1
        self._circuit_breaker.record_failure(self._clock())
        return outcome


Fetch = Callable[[HTTPRequest], Awaitable[Any]]


def _is_rejection(response: HTTPResponse) -> bool:
    if response.code == NO_RESPONSE_CODE:
        return False
    try:
        body = json.loads(response.body or b"")
    except ValueError:
        return False
    if not isinstance(body, dict):
        return False
    return (
        body.get("code") in REJECTED_CODES or body.get("message") == NO_LEADER_MESSAGE
    )


def _is_connect_error(error: BaseException | None) -> bool:
    return getattr(error, "errno", None) in CONNECT_ERRNOS


def _base64_text(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _range_end(prefix: str) -> bytes:
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
        success.append({"request_delete_range": {"key": _base64_text(key)}})
    for start, end in txn.delete_ranges:
        key_range = {"key": _base64_text(start), "range_end": _base64_text(end)}
        success.append({"request_delete_range": key_range})
    for key, value in txn.puts.items():
        success.append(
            {"request_put": {"key": _base64_text(key), "value": _base64_text(value)}}
        )
    for key, value in txn.leased_puts.items():
        put = {
            "key": _base64_text(key),
            "value": _base64_text(value),
            "lease": txn.lease,
        }
        success.append({"request_put": put})
    compares = [_compare(compare) for compare in txn.compares]
    return {"compare": compares, "success": success, "failure": []}


def _compare(compare: Compare) -> dict[str, Any]:
    key = _base64_text(compare.key)
    if compare.absent:
        return {
            "key": key,
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }
    if compare.value is not None:
        value = _base64_text(compare.value)
        return {"key": key, "target": "VALUE", "result": "EQUAL", "value": value}
    revision = str(compare.mod_revision or 0)
    return {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision}


def _dispatch_events(line: dict[str, Any], on_event: Callable[[Event], None]) -> None:
    for event in line.get("result", {}).get("events", []):
        found = _found(event["kv"])
        deleted = event.get("type") == "DELETE"
        value = None if deleted else found.value
        on_event(Event(found.key, value, found.mod_revision))
