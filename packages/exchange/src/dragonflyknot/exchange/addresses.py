"""Check the addresses that daemons connect to."""

import socket
from typing import Any, Final

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5


def is_port(value: Any) -> bool:
    """Return whether a value is a port that can be connected to."""
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 1 <= value <= MAX_PORT


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port: 127.0.0.1:80."""
    ip, _colon, port = text.rpartition(':')
    if (
        not port.isdecimal()
        or not port.isascii()
        or len(port) > MAX_PORT_DIGITS
    ):
        return False
    return is_port(int(port)) and _is_ipv4(ip)


def _is_ipv4(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True
