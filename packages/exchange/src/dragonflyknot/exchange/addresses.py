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


def has_port(address: str) -> bool:
    """Return whether an address ends with a port to connect to."""
    host, _colon, port = address.rpartition(':')
    if not host or not port.isascii() or not port.isdecimal():
        return False
    return len(port) <= MAX_PORT_DIGITS and is_port(int(port))


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port: 127.0.0.1:80."""
    return has_port(text) and _is_ipv4(text.rpartition(':')[0])


def _is_ipv4(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True
