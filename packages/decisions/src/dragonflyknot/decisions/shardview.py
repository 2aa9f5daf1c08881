"""The view that one daemon has of all shards and their holders."""

from collections import Counter
from collections.abc import Callable, Mapping

from dragonflyknot.decisions.leasemessages import (
    NO_DAEMON,
    HeartbeatRow,
    ShardRow,
)
from dragonflyknot.decisions.placement import Candidate, plan_shards
from dragonflyknot.decisions.ratemessages import Holder

HeartbeatSource = Callable[[], Mapping[str, HeartbeatRow]]


class ShardView:
    """Combine the shard rows, the heartbeat rows and the candidates."""

    def __init__(self, shards: int, heartbeats: HeartbeatSource) -> None:
        self.rows_by_shard: dict[int, ShardRow] = {}
        self.candidates: tuple[Candidate, ...] = ()
        self._shards = shards
        self._heartbeats = heartbeats

    def free_shards(self) -> tuple[int, ...]:
        """Return the shards that no daemon holds."""
        heartbeats = self._heartbeats()
        return tuple(
            shard
            for shard in range(self._shards)
            if _is_free(self.rows_by_shard.get(shard), heartbeats)
        )

    def counts_by_daemon(self) -> Counter[str]:
        """Return how many shards each daemon holds, by daemon."""
        free = set(self.free_shards())
        return Counter(
            row.daemon
            for shard, row in self.rows_by_shard.items()
            if shard not in free
        )

    def eligible_candidates(self) -> tuple[Candidate, ...]:
        """Return the candidates that are not marked dead in the table."""
        rows = self._heartbeats().values()
        alive = {row.daemon for row in rows if not row.dead}
        dead = {row.daemon for row in rows if row.dead} - alive
        return tuple(
            candidate
            for candidate in self.candidates
            if candidate.daemon not in dead
        )

    def plan(self) -> dict[int, Candidate]:
        """Return which candidate should acquire each free shard."""
        return plan_shards(
            self.free_shards(),
            self.counts_by_daemon(),
            self.eligible_candidates(),
        )

    def takeover_shards(self, witness: str) -> frozenset[int]:
        """Return the free shards whose dead holder had this witness."""
        heartbeats = self._heartbeats()
        takeover_shards: set[int] = set()
        for shard in self.free_shards():
            row = self.rows_by_shard.get(shard)
            holder = NO_DAEMON if row is None else row.holder
            heartbeat = heartbeats.get(holder)
            if heartbeat and heartbeat.witness == witness:
                takeover_shards.add(shard)
        return frozenset(takeover_shards)

    def holders(self) -> tuple[Holder, ...]:
        """Return the candidates that hold shards."""
        free = set(self.free_shards())
        shards_by_daemon: dict[str, set[int]] = {}
        for shard, row in self.rows_by_shard.items():
            if shard not in free:
                shards_by_daemon.setdefault(row.daemon, set()).add(shard)
        return tuple(
            Holder(
                candidate.host,
                candidate.data_center,
                candidate.region,
                frozenset(shards_by_daemon[candidate.daemon]),
            )
            for candidate in self.candidates
            if candidate.daemon in shards_by_daemon
        )


def _is_free(
    row: ShardRow | None, heartbeats_by_holder: Mapping[str, HeartbeatRow]
) -> bool:
    if row is None or row.holder == NO_DAEMON:
        return True
    heartbeat = heartbeats_by_holder.get(row.holder)
    return heartbeat is not None and heartbeat.dead
