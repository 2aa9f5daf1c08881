"""The messages in which the upstream of a host speaks of itself."""

from dataclasses import dataclass
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState

MAX_BORN_MS: Final = 10**15
MAX_SEQUENCE: Final = 10**15


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Hold one heartbeat.

    `born` is the start in Unix milliseconds, and `received_at` the monotonic
    time in seconds at which the heartbeat arrived.
    """

    instance: str
    service: str
    address: str
    born: int
    sequence: int
    state: UpstreamState
    slots: int
    received_at: float = 0


@dataclass(frozen=True, slots=True)
class LeaveMessage:
    """Report that an upstream leaves.

    `born` is its start in Unix milliseconds, 0 if the message names none.
    `received_ms` is the time of day at which the message arrived.
    """

    instance: str
    born: int = 0
    received_ms: int = 0
