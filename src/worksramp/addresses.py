"""Checks of ``ip:port`` addresses."""

import ipaddress
import socket

MAX_PORT = 65535


def reason_bad_address(address: str) -> str | None:
    """Return why a text is not an IP address and a port, or None if it is."""
    host, separator, port = address.rpartition(":")
    if not separator:
        return f"{address!r} is not ip:port"
    if ":" in host and not (host.startswith("[") and host.endswith("]")):
        return f"{host!r} needs brackets around an IPv6 address"
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{host!r} is not an IP address"
    if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return f"{port!r} is not a port from 1 to {MAX_PORT}"
    return None


def reason_cannot_listen(address: str) -> str | None:
    """Return why no server can listen at a valid ``ip:port``, or None if one can."""
    host, _, port = address.rpartition(":")
    ip = host.strip("[]")
    family = socket.AF_INET6 if ipaddress.ip_address(ip).version == 6 else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((ip, int(port)))
        except OSError as error:
            return f"cannot listen at {address}: {error.strerror}"
    return None
