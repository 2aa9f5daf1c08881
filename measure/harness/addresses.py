"""Find free loopback ports."""

import socket
from contextlib import ExitStack

LOOPBACK = '127.0.0.1'


def free_addresses(count: int) -> list[str]:
    """Return distinct addresses (IP:port) that were free a moment ago."""
    with ExitStack() as stack:
        return [_bound(stack) for _ in range(count)]


def _bound(stack: ExitStack) -> str:
    opened = stack.enter_context(socket.socket())
    opened.bind((LOOPBACK, 0))
    return f'{LOOPBACK}:{opened.getsockname()[1]}'
