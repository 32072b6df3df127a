"""Options of the curl client that prevent automatic retries of requests.

When a reused connection closes before the first byte of the answer, libcurl silently
sends the request again on a new one, whatever its method. A charge then runs twice, a
compare-and-swap conflicts with itself, and a refusal of the second copy says nothing of
the first, which may still be carried out. Each function here is a
`prepare_curl_callback` that prevents this.
"""

import pycurl


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
