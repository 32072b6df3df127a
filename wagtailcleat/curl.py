"""An option of the curl client that prevents automatic retries of requests."""

import pycurl


def never_repeat(handle: pycurl.Curl) -> None:
    """Send the request on a new connection, so that libcurl does not repeat it.

    When a reused connection closes before the first byte of the answer, libcurl
    silently sends the request again on a new one, whatever its method. A charge then
    runs twice, and a compare-and-swap conflicts with itself. libcurl does so only on
    connections that were used before.
    """
    handle.setopt(pycurl.FRESH_CONNECT, 1)
    handle.setopt(pycurl.FORBID_REUSE, 1)
