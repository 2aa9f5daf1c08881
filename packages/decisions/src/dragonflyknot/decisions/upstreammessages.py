"""The messages in which the upstream of a host speaks of itself."""

from dataclasses import dataclass
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState

MAX_BORN_MS: Final = 10**15
MAX_SEQUENCE: Final = 10**15


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Hold one heartbeat; `born` is the start in Unix milliseconds."""

    instance: str
    service: str
    address: str
    born: int
    sequence: int
    state: UpstreamState
    slots: int


@dataclass(frozen=True, slots=True)
class LeaveMessage:
    """Report that an upstream leaves; `born` is 0 if it is unknown."""

    instance: str
    born: int = 0
