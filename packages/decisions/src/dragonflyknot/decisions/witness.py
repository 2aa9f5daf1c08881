"""Watch the holders of shards and declare them dead in the table.

A daemon may declare a holder dead if it is the witness that the holder's
row names and its last grant has run out, or if it has itself watched the
row stand still for a whole lease and a margin. The row is written on
condition of the counter that was watched, so a holder that renewed in the
meantime, or chose another witness, goes on undisturbed.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from dragonflyknot.decisions.leaserows import (
    NOBODY,
    DeleteHeartbeat,
    HeartbeatRow,
    LeaseSettings,
    ShardRow,
    WriteHeartbeat,
)


@dataclass(slots=True)
class _Watched:
    """Track one holder's row as this daemon saw it."""

    row: HeartbeatRow
    first_seen_at: float
    unchanged_since: float


class Witness:
    """Grant short leases, and fence the holders that let theirs lapse."""

    def __init__(self, daemon: str, settings: LeaseSettings) -> None:
        self._daemon = daemon
        self._settings = settings
        self._watched_by_holder: dict[str, _Watched] = {}
        self._granted_at_by_holder: dict[str, float] = {}
        self._fenced_at_by_holder: dict[str, float] = {}
        self._in_flight: set[str] = set()

    def rows(self) -> Mapping[str, HeartbeatRow]:
        """Return the newest row seen of each holder, by holder."""
        return {
            holder: watched.row
            for holder, watched in self._watched_by_holder.items()
        }

    def ask(self, holder: str, now: float) -> bool:
        """Grant a short lease, unless the holder is being fenced."""
        if holder in self._fenced_at_by_holder:
            return False
        self._granted_at_by_holder[holder] = now
        return True

    def see(self, rows: Iterable[HeartbeatRow], now: float) -> None:
        """Take in all heartbeat rows of the table."""
        rows_by_holder = {row.holder: row for row in rows}
        for holder in tuple(self._watched_by_holder):
            if holder not in rows_by_holder:
                self._watched_by_holder.pop(holder)
        for row in rows_by_holder.values():
            self._see_row(row, now)
        self._forget_gone(self._granted_at_by_holder, now)
        self._forget_gone(self._fenced_at_by_holder, now)

    def learn(self, row: HeartbeatRow, now: float) -> None:
        """Take in a row that this daemon has just written itself."""
        self._in_flight.discard(row.holder)
        self._see_row(row, now)

    def missed(self, row: HeartbeatRow) -> None:
        """Learn that a fencing write failed or got no answer.

        An earlier try may have taken effect, so the holder gets no lease
        before its row was seen alive with a greater counter.
        """
        self._in_flight.discard(row.holder)

    def fence(
        self, shards: Iterable[ShardRow], own: str, now: float
    ) -> Iterator[WriteHeartbeat]:
        """Declare dead whoever has let its lease lapse."""
        for holder, watched in self._watched_by_holder.items():
            if holder != own and self._lapsed(watched, now):
                counter = watched.row.counter
                dead = replace(watched.row, counter=counter + 1, dead=True)
                yield from self._declare_dead(dead, counter, now)
        for shard in shards:
            unknown = shard.holder not in self._watched_by_holder
            if unknown and shard.holder not in {NOBODY, own}:
                dead = HeartbeatRow(
                    shard.holder, shard.daemon, 1, NOBODY, dead=True
                )
                yield from self._declare_dead(dead, None, now)

    def clean(
        self, shards: Iterable[ShardRow], now: float
    ) -> Iterator[DeleteHeartbeat]:
        """Delete dead rows that no shard refers to any more."""
        referred = {shard.holder for shard in shards}
        for holder, watched in self._watched_by_holder.items():
            age = now - watched.unchanged_since
            if (
                watched.row.dead
                and holder not in referred
                and age > 2 * self._settings.poll_s
            ):
                yield DeleteHeartbeat(watched.row)

    def _lapsed(self, watched: _Watched, now: float) -> bool:
        if watched.row.dead:
            return False
        settings = self._settings
        still_s = now - watched.unchanged_since
        if still_s >= settings.lease_s + settings.margin_s:
            return True
        if watched.row.witness != self._daemon:
            return False
        granted_at = self._granted_at_by_holder.get(watched.row.holder, 0)
        since = max(granted_at, watched.first_seen_at)
        return now - since >= settings.witness_lease_s + settings.margin_s

    def _declare_dead(
        self, row: HeartbeatRow, expected: int | None, now: float
    ) -> Iterator[WriteHeartbeat]:
        if row.holder in self._in_flight:
            return
        self._fenced_at_by_holder[row.holder] = now
        self._in_flight.add(row.holder)
        yield WriteHeartbeat(row, expected)

    def _see_row(self, row: HeartbeatRow, now: float) -> None:
        watched = self._watched_by_holder.get(row.holder)
        if watched is None:
            self._watched_by_holder[row.holder] = _Watched(row, now, now)
        elif row.counter > watched.row.counter:
            watched.row = row
            watched.unchanged_since = now
        else:
            return
        if not row.dead and row.holder not in self._in_flight:
            self._fenced_at_by_holder.pop(row.holder, None)

    def _forget_gone(self, at_by_holder: dict[str, float], now: float) -> None:
        # A holder whose row is gone may still count on its long lease.
        oldest = now - self._settings.lease_s - self._settings.margin_s
        for holder, at in tuple(at_by_holder.items()):
            if at < oldest and holder not in self._watched_by_holder:
                at_by_holder.pop(holder)
