"""HTTP client of the command line, which fails over from one entry to the next.

Every call made here is idempotent: a change carries its change id, a job its own id,
and the rest only reads or sets a state. So a call whose answer was lost is repeated
through another entry and still takes effect once.
"""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from wagtailcleat.clock import Clock, boot_time
from wagtailcleat.curl import CurlClient, never_repeat
from wagtailcleat.errors import Code

CONNECT_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 15.0
ROUND_DELAY_SECONDS = 0.5
MAX_ROUNDS = 3
CONNECT_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
RETRIED_CODES = (Code.UNAVAILABLE.value, Code.OUTCOME_UNKNOWN.value)


@dataclass(frozen=True)
class Reply:
    """A complete answer of an entry."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the call was carried out."""
        return self.status < 400

    @property
    def code(self) -> str:
        """The code of a refusal; empty where the call was carried out."""
        code = self.body.get("code", "") if isinstance(self.body, dict) else ""
        return str(code)


@dataclass(frozen=True)
class Unreached:
    """No entry answered; `sent` is true where one may have carried out the call."""

    why_by_url: dict[str, str]
    sent: bool


class Client:
    """A client of several entries, at their callers' or their operators' port."""

    def __init__(
        self, urls: list[str], token: str | None = None, *, clock: Clock = boot_time
    ) -> None:
        """Call `urls` in turn, with `token` as bearer token where given."""
        self._urls = urls
        self._token = token
        self._clock = clock
        self._client = CurlClient(force_instance=True)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(
        self, method: str, path: str, body: object = None
    ) -> Reply | Unreached:
        """Make one call through each entry in turn until one answers conclusively.

        `unavailable` and `outcome_unknown` are not conclusive and are retried, for
        up to `MAX_ROUNDS` rounds over all entries. Nor is `not_run` once an entry may
        have carried out an earlier copy of the call.
        """
        why_by_url: dict[str, str] = {}
        last_refusal: Reply | None = None
        sent = False
        for round_index in range(MAX_ROUNDS):
            if round_index:
                await asyncio.sleep(ROUND_DELAY_SECONDS)
            for url in self._urls:
                outcome = await self._call(url, method, path, body)
                if isinstance(outcome, Unreached):
                    why_by_url |= outcome.why_by_url
                    sent = sent or outcome.sent
                elif _is_conclusive(outcome, sent=sent):
                    return outcome
                else:
                    last_refusal = outcome
                    sent = sent or outcome.code == Code.OUTCOME_UNKNOWN.value
        if last_refusal is not None and not sent:
            return last_refusal
        return Unreached(why_by_url, sent)

    async def _call(
        self, url: str, method: str, path: str, body: object
    ) -> Reply | Unreached:
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        request = HTTPRequest(
            url + path,
            method=method,
            headers=headers,
            body=_request_body(method, body),
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=CALL_TIMEOUT_SECONDS,
            follow_redirects=False,
            prepare_curl_callback=_prepare_read if method == "GET" else _prepare_write,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            sent = error.errno not in CONNECT_ERRORS
            return Unreached({url: error.message or "no answer"}, sent)
        try:
            return Reply(response.code, json.loads(response.body))
        except ValueError:
            return Unreached({url: "its answer is no JSON"}, sent=True)


def _is_conclusive(reply: Reply, *, sent: bool) -> bool:
    if reply.code == Code.NOT_RUN.value:
        return not sent
    return reply.code not in RETRIED_CODES


def _request_body(method: str, body: object) -> bytes | None:
    if body is None:
        return b"" if method in ("POST", "PUT") else None
    return json.dumps(body).encode()


def _prepare_read(curl: pycurl.Curl) -> None:
    # Entries are called directly. A proxy named in the environment would receive the
    # token.
    curl.setopt(pycurl.PROXY, "")


def _prepare_write(curl: pycurl.Curl) -> None:
    _prepare_read(curl)
    never_repeat(curl)
