"""Data types that daemons exchange about a request and its response.

The edge creates a `Call` for each request and an `Attempt` for each time it
is sent. The gate adds a `LoadReport` to every response and ends each attempt
with an `Outcome`.
"""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Outcome(Enum):
    """Tell whether a request ran; `NOT_RUN` is a guarantee."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@unique
class UpstreamState(Enum):
    """Name the states that an upstream announces."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Call:
    """Describe a request at one hop of its chain.

    `deadline` is in monotonic seconds of the local process; daemons send
    each other the remaining time, never a timestamp. `depth` counts the
    previous hops. `retries` is this hop's share of the chain's retry pool.
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
    """Address one attempt of a call to an incarnation of a gate."""

    attempt_id: str
    host: str
    incarnation: int
    call: Call


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report the load and the capacity of a gate to edges.

    `threshold` is the lowest priority that the gate currently admits,
    `prompt` the lowest that starts without a long wait; `limit`, `running`
    and `queued` count requests. `epoch` is the ledger epoch that senders put
    into the ids of new attempts.
    """

    state: UpstreamState
    limit: int
    running: int
    queued: int
    threshold: int
    prompt: int = 0
    epoch: int = 0
