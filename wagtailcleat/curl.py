"""How the curl client is kept from repeating a request by itself."""

import pycurl


def never_repeat(handle: pycurl.Curl) -> None:
    """Send a request on a connection of its own.

    When a kept connection closes before the first byte of an answer, libcurl sends
    the request again on a new one, whatever its method, and tells nobody: a charge
    then runs twice, and a compare-and-swap reports a conflict with itself. It only
    does so on a connection that was used before.
    """
    handle.setopt(pycurl.FRESH_CONNECT, 1)
    handle.setopt(pycurl.FORBID_REUSE, 1)
