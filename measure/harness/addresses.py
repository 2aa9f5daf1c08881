"""Find free loopback ports.

The ports lie below those that the system gives to outgoing connections, so
that none of these takes a port before its process listens.
"""

import random
import socket
from contextlib import ExitStack

LOOPBACK = '127.0.0.1'
PORTS = range(12_000, 32_000)

_random = random.SystemRandom()


def free_addresses(count: int) -> list[str]:
    """Return distinct addresses (IP:port) that were free a moment ago."""
    with ExitStack() as stack:
        return [_bound(stack) for _ in range(count)]


def _bound(stack: ExitStack) -> str:
    opened = stack.enter_context(socket.socket())
    while True:
        port = _random.choice(PORTS)
        try:
            opened.bind((LOOPBACK, port))
        except OSError:
            continue
        return f'{LOOPBACK}:{port}'
