"""The curl client of this package, and options that prevent automatic retries.

When a reused connection closes before the first byte of the answer, libcurl silently
sends the request again on a new one, whatever its method. A charge then runs twice, a
compare-and-swap conflicts with itself, and a refusal of the second copy says nothing of
the first, which may still be carried out. `never_repeat` and `forbid_repetition` are
each a `prepare_curl_callback` that prevents this.
"""

from io import BytesIO

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from wagtailcleat.time_limits import call_at_limit

TIMED_OUT = "the time limit has passed"


class CurlClient(CurlAsyncHTTPClient):
    """A curl client that reads what has arrived before it ends a call as timed out.

    libcurl compares a transfer with its time limit before it reads from the socket. A
    process that has been suspended beyond the limit would then discard an answer that
    is in the kernel's buffer. So `request_timeout` is enforced by `call_at_limit`.
    """

    def close(self) -> None:
        """End the timers, and close all connections."""
        for curl in self._curls:
            _cancel_limit(curl)
        super().close()
        # Calls in flight have set a timer again as they ended.
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: HTTPRequest,
        buffer: BytesIO,
        headers: HTTPHeaders,
    ) -> None:
        super()._curl_setup_request(curl, request, buffer, headers)
        if request.request_timeout:
            curl.setopt(pycurl.TIMEOUT_MS, 0)
            curl.info["cancel_limit"] = call_at_limit(
                request.request_timeout, lambda: self._time_out(curl)
            )

    def _time_out(self, curl: pycurl.Curl) -> None:
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, TIMED_OUT)
        self._process_queue()
        self._set_timeout(0)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        _cancel_limit(curl)
        super()._finish(curl, curl_error, curl_message)


def _cancel_limit(curl: pycurl.Curl) -> None:
    info = getattr(curl, "info", None)
    if info and "cancel_limit" in info:
        info.pop("cancel_limit")()


def never_repeat(handle: pycurl.Curl) -> None:
    """Send the request on a new connection, on which libcurl does not repeat it.

    This holds for every request, but each one costs a connection. Use it for requests
    that may have an empty body, and where calls are rare.
    """
    handle.setopt(pycurl.FRESH_CONNECT, 1)
    handle.setopt(pycurl.FORBID_REUSE, 1)


def forbid_repetition(handle: pycurl.Curl) -> None:
    """Let the request fail where libcurl would repeat it; connections are reused.

    libcurl gives up a request whose body it can't read again. So this holds only for
    requests with a body that is not empty; others are still repeated.
    """
    handle.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: pycurl.SEEKFUNC_FAIL)
