"""Rows, events and commands of the shard leases.

A shard row names the holder of a shard; its epoch grows with every write.
A heartbeat row stands for all leases of a holder; its counter grows with
every write. Both are written only on condition of the expected number. A
holder whose heartbeat row is dead holds nothing any more, for good.
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

NOBODY = ''
"""Holder of a released shard, and witness of a lone daemon."""


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Set the durations of the leases, in seconds.

    Every daemon of a fleet must have the same `shards`, `lease_s`,
    `witness_lease_s` and `margin_s`.
    """

    shards: int = 16
    lease_s: float = 300
    renew_s: float = 20
    witness_lease_s: float = 1
    witness_ask_s: float = 0.25
    witness_silent_s: float = 0.4
    margin_s: float = 0.3
    poll_s: float = 5
    retry_s: float = 1


@dataclass(frozen=True, slots=True)
class ShardRow:
    """Name the holder of a shard, its process and its layout.

    The layout of `revision` is the one that the holder follows.
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
    """Read all shard rows and heartbeat rows, consistently."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class WriteHeartbeat:
    """Write a heartbeat row if its counter is `expected`.

    An `expected` of None means that there must be no row.
    """

    row: HeartbeatRow
    expected: int | None


@dataclass(frozen=True, slots=True)
class DeleteHeartbeat:
    """Delete a dead heartbeat row if its counter is that of `row`."""

    row: HeartbeatRow


@dataclass(frozen=True, slots=True)
class WriteShard:
    """Write a shard row if its epoch is `expected`, None for no row."""

    row: ShardRow
    expected: int | None


@dataclass(frozen=True, slots=True)
class AskWitness:
    """Ask a witness for a short lease; echo all fields with its answer."""

    host: str
    witness: str
    holder: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class AnswerWitness:
    """Answer the holder that just asked."""

    witness: str
    holder: str
    granted: bool


@dataclass(frozen=True, slots=True)
class Nudge:
    """Tell a daemon that it is worth while to read the rows now."""

    host: str


@dataclass(frozen=True, slots=True)
class StopFinished:
    """Report that all leases are released."""


RowWrite = WriteHeartbeat | WriteShard | DeleteHeartbeat

LeaseCommand = (
    ReadRows
    | RowWrite
    | AskWitness
    | AnswerWitness
    | Nudge
    | StopFinished
    | ShardGained
    | ShardLost
    | LayoutConfirmed
    | LeaseExtended
    | HoldersChanged
)


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Receive all rows; `asked_at` is that of the `ReadRows`."""

    asked_at: float
    shards: tuple[ShardRow, ...]
    heartbeats: tuple[HeartbeatRow, ...]


@dataclass(frozen=True, slots=True)
class RowsUnread:
    """Learn that the rows could not be read."""


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Learn that a write took effect."""

    write: RowWrite


@dataclass(frozen=True, slots=True)
class RowRefused:
    """Learn that the condition of a write did not hold."""

    write: RowWrite


@dataclass(frozen=True, slots=True)
class RowUnanswered:
    """Learn that nobody knows whether a write took or will take effect."""

    write: RowWrite


@dataclass(frozen=True, slots=True)
class CandidatesChanged:
    """Learn which daemons may hold shards, this one perhaps included."""

    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class LayoutInstalled:
    """Follow the layout of a revision; the quota was told before."""

    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class WitnessAsked:
    """Receive a holder's request for a short lease."""

    holder: str


@dataclass(frozen=True, slots=True)
class WitnessAnswered:
    """Receive a witness's answer."""

    witness: str
    holder: str
    asked_at: float
    granted: bool


@dataclass(frozen=True, slots=True)
class Nudged:
    """Receive a nudge from another daemon."""


@dataclass(frozen=True, slots=True)
class LeaseTicked:
    """Let time pass."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """Release all leases."""


LeaseEvent = (
    RowsRead
    | RowsUnread
    | RowWritten
    | RowRefused
    | RowUnanswered
    | CandidatesChanged
    | LayoutInstalled
    | WitnessAsked
    | WitnessAnswered
    | Nudged
    | LeaseTicked
    | Stopped
)
