"""Faults, a fake table and records for the play of rates."""

from dataclasses import dataclass, field

from dragonflyknot.decisions.leasemessages import (
    DeleteHeartbeat,
    HeartbeatRow,
    RowWrite,
    ShardRow,
    WriteHeartbeat,
    WriteShard,
)


@dataclass(slots=True)
class Faults:
    """Set what goes wrong; probabilities from 0 to 1."""

    lost: float = 0
    doubled: float = 0
    late: float = 0
    latest_s: float = 0
    store_out: bool = False
    store_answer_lost: float = 0
    store_late: float = 0
    region_cut: bool = False


@dataclass(frozen=True, slots=True)
class Admission:
    """Record a request that was let through, in true time."""

    request_id: str
    workspace: str
    at: float


@dataclass(slots=True)
class FakeTable:
    """Keep shard rows and heartbeat rows with conditional writes."""

    shards: dict[int, ShardRow] = field(default_factory=dict)
    heartbeats: dict[str, HeartbeatRow] = field(default_factory=dict)
    writes: int = 0
    reads: int = 0

    def apply(self, write: RowWrite) -> bool:
        """Carry out a write if its condition holds."""
        self.writes += 1
        match write:
            case WriteHeartbeat(row, expected):
                old = self.heartbeats.get(row.holder)
                if getattr(old, 'counter', None) != expected:
                    return False
                self.heartbeats[row.holder] = row
            case DeleteHeartbeat(row):
                if self.heartbeats.get(row.holder) != row:
                    return False
                self.heartbeats.pop(row.holder)
            case WriteShard(shard_row, expected):
                shard = self.shards.get(shard_row.shard)
                if getattr(shard, 'epoch', None) != expected:
                    return False
                self.shards[shard_row.shard] = shard_row
        return True


def window_overrun(
    admitted_at: list[float], rate: float, burst: float
) -> float:
    """Return by how many requests the worst window exceeds its bound."""
    lowest = float('inf')
    worst = float('-inf')
    for count, at in enumerate(sorted(admitted_at)):
        lowest = min(lowest, count - rate * at)
        worst = max(worst, count + 1 - rate * at - lowest)
    return max(0, worst - burst)
