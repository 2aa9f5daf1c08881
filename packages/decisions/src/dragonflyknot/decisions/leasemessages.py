"""Rows, events and commands of the shard leases.

A shard row names the holder of a shard; every write increments its epoch. A
heartbeat row renews all leases of a holder; every write increments its
counter. Both are written conditionally, by compare-and-set of that number. A
holder whose heartbeat row is dead has lost all its leases for good.
"""

from dataclasses import dataclass

from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.ratemessages import (
    HoldersChanged,
    LayoutConfirmed,
    LeaseExtended,
    ShardGained,
    ShardLost,
)

NO_DAEMON = ''
"""Holder of a released shard, and witness of a daemon without peers."""


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Set the number of shards and the durations of the leases, in seconds.

    Every daemon of a fleet must have the same `shards`, `lease_s`,
    `witness_lease_s` and `margin_s`. Other daemons wait for `margin_s` after
    a lease ends before they take over. The row is renewed every
    `renew_interval_s`, and short leases are requested every
    `witness_request_interval_s`. A witness without an answer for
    `witness_timeout_s` is replaced. All rows are read every `poll_interval_s`;
    a failed read or write is retried after `retry_delay_s`.
    """

    shards: int = 16
    lease_s: float = 300
    renew_interval_s: float = 20
    witness_lease_s: float = 1
    witness_request_interval_s: float = 0.25
    witness_timeout_s: float = 0.4
    margin_s: float = 0.3
    poll_interval_s: float = 5
    retry_delay_s: float = 1


@dataclass(frozen=True, slots=True)
class ShardRow:
    """Name the holder of a shard, its daemon and its layout.

    The holder follows the layout of `revision`, whose digest is `layout`.
    """

    shard: int
    holder: str
    daemon: str
    epoch: int
    revision: int = 0
    layout: str = ''


@dataclass(frozen=True, slots=True)
class HeartbeatRow:
    """Renew all leases of a holder and name its witness."""

    holder: str
    daemon: str
    counter: int
    witness: str
    dead: bool = False


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read all shard rows and heartbeat rows with consistent reads."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class WriteHeartbeat:
    """Write a heartbeat row if its counter is `expected`.

    An `expected` of None means that the row must not exist.
    """

    row: HeartbeatRow
    expected: int | None


@dataclass(frozen=True, slots=True)
class DeleteHeartbeat:
    """Delete a dead heartbeat row if its counter is that of `row`."""

    row: HeartbeatRow


@dataclass(frozen=True, slots=True)
class WriteShard:
    """Write a shard row if its epoch is `expected`.

    An `expected` of None means that the row must not exist.
    """

    row: ShardRow
    expected: int | None


@dataclass(frozen=True, slots=True)
class AskWitness:
    """Request a short lease of a witness.

    The `WitnessAnswered` event carries the same fields.
    """

    host: str
    witness: str
    holder: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class AnswerWitness:
    """Answer the request for a short lease that was just received."""

    witness: str
    holder: str
    granted: bool


@dataclass(frozen=True, slots=True)
class Nudge:
    """Advise a daemon to read the rows now instead of at its next poll."""

    host: str


@dataclass(frozen=True, slots=True)
class LeasesReleased:
    """Report that all leases are released."""


RowWrite = WriteHeartbeat | WriteShard | DeleteHeartbeat

LeaseCommand = (
    ReadRows
    | RowWrite
    | AskWitness
    | AnswerWitness
    | Nudge
    | LeasesReleased
    | ShardGained
    | ShardLost
    | LayoutConfirmed
    | LeaseExtended
    | HoldersChanged
)


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Report all rows; `asked_at` is that of the `ReadRows`."""

    asked_at: float
    shards: tuple[ShardRow, ...]
    heartbeats: tuple[HeartbeatRow, ...]


@dataclass(frozen=True, slots=True)
class RowsReadFailed:
    """Report that the rows could not be read."""


@dataclass(frozen=True, slots=True)
class RowWriteApplied:
    """Report that a write took effect."""

    write: RowWrite


@dataclass(frozen=True, slots=True)
class RowWriteRejected:
    """Report that a write was rejected, as its condition did not hold."""

    write: RowWrite


@dataclass(frozen=True, slots=True)
class RowWriteUnresolved:
    """Report that the outcome of a write is unknown.

    It may have taken effect or may still do so.
    """

    write: RowWrite


@dataclass(frozen=True, slots=True)
class CandidatesChanged:
    """Report the daemons that may hold shards.

    This daemon may be one of them.
    """

    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class LayoutInstalled:
    """Follow the layout of a revision that the quota already follows."""

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class WitnessAsked:
    """Report the request of a holder for a short lease."""

    holder: str


@dataclass(frozen=True, slots=True)
class WitnessAnswered:
    """Report the answer of a witness."""

    witness: str
    holder: str
    asked_at: float
    granted: bool


@dataclass(frozen=True, slots=True)
class Nudged:
    """Report the advice of another daemon to read the rows now."""


@dataclass(frozen=True, slots=True)
class LeaseTicked:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Release all leases."""


LeaseEvent = (
    RowsRead
    | RowsReadFailed
    | RowWriteApplied
    | RowWriteRejected
    | RowWriteUnresolved
    | CandidatesChanged
    | LayoutInstalled
    | WitnessAsked
    | WitnessAnswered
    | Nudged
    | LeaseTicked
    | StopRequested
)
