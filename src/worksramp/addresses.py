"""Checks of ``ip:port`` addresses."""

import ipaddress

MAX_PORT = 65535


def reason_bad_address(address: str) -> str | None:
    """Return why a text is not an IP number and a port, None if it is."""
    host, separator, port = address.rpartition(":")
    if not separator:
        return f"{address!r} is not ip:port"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{host!r} is not an IP number"
    if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return f"{port!r} is not a port from 1 to {MAX_PORT}"
    return None
