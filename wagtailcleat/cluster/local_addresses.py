"""Which addresses belong to this VM."""

import socket
from ipaddress import IPv4Address

ANY_PORT = 9
"""No datagram is sent, so nothing needs to listen."""


def is_local_address(host: str) -> bool:
    """Return whether an IPv4 address is certainly one of this VM.

    A second address of a subnet may not be recognised. Host names are not resolved.
    """
    try:
        address = IPv4Address(host)
    except ValueError:
        return False
    if address.is_loopback:
        return True
    if address.is_unspecified or address.is_multicast:
        return False
    # The kernel takes the source from the route to the address: the address itself if
    # it is of this VM. A bind would not show that, for the kernel may be configured
    # to accept any address there.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unsent:
        try:
            unsent.connect((host, ANY_PORT))
        except OSError:
            return False
        return bool(unsent.getsockname()[0] == host)
