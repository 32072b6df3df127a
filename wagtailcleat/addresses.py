"""Addresses that other processes and programs name: a host and a port."""

import re
from ipaddress import ip_address

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
HOST_PATTERN = r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?"


def address_problem(host: str, port: int) -> str:
    """Return why a host and port can't be called; "" if they can.

    Hosts are numeric: a name would be looked up in the event loop.
    """
    if not 1 <= port <= MAX_PORT:
        return f"port {port} is out of range"
    try:
        ip_address(host)
    except ValueError:
        return "the host is not numeric"
    return ""


def host_port_problem(address: str) -> str:
    """Return why a `host:port` can't be called; "" if it can.

    The host may be a name: HTTP clients look names up outside the event loop.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS):
        return "the port is no number"
    if not 1 <= int(port) <= MAX_PORT:
        return f"port {port} is out of range"
    return "" if re.fullmatch(HOST_PATTERN, host) else "the host has no valid name"
