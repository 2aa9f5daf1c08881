"""What daemons tell each other about a request and its answer.

The edge creates a `Call` for each request and an `Attempt` for each try.
The gate answers with a `LoadReport` on every answer, and ends each attempt
with one of the outcomes.
"""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Outcome(Enum):
    """Say whether a request ran; `NOT_RUN` is a promise."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@unique
class UpstreamState(Enum):
    """Name the states that an upstream announces for itself."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Call:
    """Describe a request at one hop of its chain.

    `deadline` is in monotonic seconds of the local process; daemons pass on
    the remaining time, never a point in time. `depth` counts the hops before
    this one. `retries` is the part of the chain's pool that this hop holds.
    """

    request_id: str
    chain_id: str
    workspace: str
    service: str
    priority: int
    deadline: float
    depth: int = 0
    retries: int = 0
    once: bool = False
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """Address one try of a call to an incarnation of a gate."""

    attempt_id: str
    host: str
    incarnation: int
    call: Call


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell edges what a gate has room for.

    `threshold` is the lowest priority that the gate now admits, `prompt`
    the lowest that starts without a long wait; `limit`, `running` and
    `queued` count requests. `epoch` is the ledger epoch that senders put
    into the ids of new attempts.
    """

    state: UpstreamState
    limit: int
    running: int
    queued: int
    threshold: int
    prompt: int = 0
    epoch: int = 0
