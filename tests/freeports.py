"""Find free loopback ports for listeners of tests."""

import socket


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])
