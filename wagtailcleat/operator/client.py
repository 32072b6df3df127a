"""Calls the entries: the next one where one does not answer.

Every call made here is idempotent: a change carries its change id, a job its own
id, the rest only reads or asks for a state. So a call whose answer was lost is
repeated through another entry, and is still done once.
"""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from wagtailcleat.clock import Clock, boot_time
from wagtailcleat.errors import Code

CONNECT_SECONDS = 2.0
CALL_SECONDS = 15.0
ROUND_PAUSE_SECONDS = 0.5
ROUNDS = 3
CONNECT_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
REPEATED_CODES = (Code.UNAVAILABLE.value, Code.OUTCOME_UNKNOWN.value)


@dataclass(frozen=True)
class Reply:
    """An entry's whole answer."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the call was done."""
        return self.status < 400

    @property
    def code(self) -> str:
        """The refusal's code, where it is one."""
        code = self.body.get("code", "") if isinstance(self.body, dict) else ""
        return str(code)


@dataclass(frozen=True)
class NotReached:
    """No entry answered; `sent` tells whether one may have taken the call."""

    why_by_url: dict[str, str]
    sent: bool


class Client:
    """Calls one of several entries on one port, the callers' or the operators'."""

    def __init__(
        self, urls: list[str], token: str | None = None, *, clock: Clock = boot_time
    ) -> None:
        """Call `urls` in turn; `token` is sent where there is one."""
        self._urls = urls
        self._token = token
        self._clock = clock
        self._client = CurlAsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(
        self, method: str, path: str, body: object = None
    ) -> Reply | NotReached:
        """Make one call, through each entry in turn until one carries it out."""
        why_by_url: dict[str, str] = {}
        refused: Reply | None = None
        sent = False
        for turn in range(ROUNDS):
            if turn:
                await asyncio.sleep(ROUND_PAUSE_SECONDS)
            for url in self._urls:
                outcome = await self._call(url, method, path, body)
                if isinstance(outcome, NotReached):
                    why_by_url |= outcome.why_by_url
                    sent = sent or outcome.sent
                elif outcome.code not in REPEATED_CODES:
                    return outcome
                else:
                    refused = outcome
                    sent = sent or outcome.code == Code.OUTCOME_UNKNOWN.value
        if refused is not None and not sent:
            return refused
        return NotReached(why_by_url, sent)

    async def _call(
        self, url: str, method: str, path: str, body: object
    ) -> Reply | NotReached:
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        request = HTTPRequest(
            url + path,
            method=method,
            headers=headers,
            body=_encoded(method, body),
            connect_timeout=CONNECT_SECONDS,
            request_timeout=CALL_SECONDS,
            follow_redirects=False,
            prepare_curl_callback=_no_proxy,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            sent = error.errno not in CONNECT_ERRORS
            return NotReached({url: error.message or "no answer"}, sent)
        try:
            return Reply(response.code, json.loads(response.body))
        except ValueError:
            return NotReached({url: "its answer is no JSON"}, sent=True)


def _encoded(method: str, body: object) -> bytes | None:
    if body is None:
        return b"" if method in ("POST", "PUT") else None
    return json.dumps(body).encode()


def _no_proxy(curl: pycurl.Curl) -> None:
    # Entries are called by their own addresses; a proxy named in the terminal's
    # environment would be sent the token.
    curl.setopt(pycurl.PROXY, "")
