"""Reserve loopback ports for processes that will listen on them.

The ports lie below those that the system gives to outgoing connections, so
that none of these takes a port before its process listens. A datagram
socket on the same number stays open as the reservation: it is in the way of
no listener, and keeps other draws away, in this process and in others.
"""

import random
import socket

LOOPBACK = '127.0.0.1'
PORTS = range(12_000, 32_000)

_random = random.SystemRandom()
_reservations_by_port: dict[int, socket.socket] = {}


def free_addresses(count: int) -> list[str]:
    """Return addresses (IP:port) that no other draw returns."""
    return [f'{LOOPBACK}:{free_port()}' for _ in range(count)]


def free_port() -> int:
    """Return a port that is free, and reserve it until the process ends."""
    while True:
        port = _random.choice(PORTS)
        reservation = _reserve(port)
        if reservation is None:
            continue
        _reservations_by_port[port] = reservation
        if _is_free(port):
            return port


def _reserve(port: int) -> socket.socket | None:
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return None
    return reservation


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
