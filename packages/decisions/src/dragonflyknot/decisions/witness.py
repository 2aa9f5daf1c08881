"""Watch the holders of shards and declare them dead in the table.

A daemon may declare a holder dead if it is the witness named by the holder's
row and the short lease that it granted has expired, or if it has seen the row
unchanged for a whole lease and a margin. The write is conditional on the
counter that was seen, so it has no effect on a holder that renewed in the
meantime or chose another witness.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from dragonflyknot.decisions.leasemessages import (
    NO_DAEMON,
    DeleteHeartbeat,
    HeartbeatRow,
    LeaseSettings,
    ShardRow,
    WriteHeartbeat,
)


@dataclass(slots=True)
class _WatchedRow:
    """Track the row of one holder as this daemon saw it."""

    row: HeartbeatRow
    first_seen_at: float
    unchanged_since: float


class Witness:
    """Grant short leases and fence the holders whose leases expired."""

    def __init__(self, daemon: str, settings: LeaseSettings) -> None:
        self._daemon = daemon
        self._settings = settings
        self._watched_by_holder: dict[str, _WatchedRow] = {}
        self._granted_at_by_holder: dict[str, float] = {}
        self._fenced_at_by_holder: dict[str, float] = {}
        self._writes_in_flight: set[str] = set()

    def rows_by_holder(self) -> Mapping[str, HeartbeatRow]:
        """Return the newest row seen of each holder, by holder."""
        return {
            holder: watched.row
            for holder, watched in self._watched_by_holder.items()
        }

    def grant_lease(self, holder: str, now: float) -> bool:
        """Grant a short lease, unless the holder is being fenced."""
        if holder in self._fenced_at_by_holder:
            return False
        self._granted_at_by_holder[holder] = now
        return True

    def update_rows(self, rows: Iterable[HeartbeatRow], now: float) -> None:
        """Update the watched rows to all heartbeat rows of the table."""
        rows_by_holder = {row.holder: row for row in rows}
        for holder in tuple(self._watched_by_holder):
            if holder not in rows_by_holder:
                self._watched_by_holder.pop(holder)
        for row in rows_by_holder.values():
            self._update_row(row, now)
        self._remove_deleted(self._granted_at_by_holder, now)
        self._remove_deleted(self._fenced_at_by_holder, now)

    def row_written(self, row: HeartbeatRow, now: float) -> None:
        """Update a watched row to what this daemon has just written."""
        self._writes_in_flight.discard(row.holder)
        self._update_row(row, now)

    def write_failed(self, row: HeartbeatRow) -> None:
        """Handle a fencing write that failed or was not answered.

        An earlier attempt may have taken effect, so the holder gets no lease
        until its row is seen alive with a greater counter.
        """
        self._writes_in_flight.discard(row.holder)

    def fence(
        self, shards: Iterable[ShardRow], own: str, now: float
    ) -> Iterator[WriteHeartbeat]:
        """Declare the holders dead whose leases have expired."""
        for holder, watched in self._watched_by_holder.items():
            if holder != own and self._has_expired(watched, now):
                counter = watched.row.counter
                dead = replace(watched.row, counter=counter + 1, dead=True)
                yield from self._declare_dead(dead, counter, now)
        for shard in shards:
            unknown = shard.holder not in self._watched_by_holder
            if unknown and shard.holder not in {NO_DAEMON, own}:
                dead = HeartbeatRow(
                    shard.holder, shard.daemon, 1, NO_DAEMON, dead=True
                )
                yield from self._declare_dead(dead, None, now)

    def delete_dead_rows(
        self, shards: Iterable[ShardRow], now: float
    ) -> Iterator[DeleteHeartbeat]:
        """Delete dead rows that no shard row refers to any longer."""
        referenced = {shard.holder for shard in shards}
        for holder, watched in self._watched_by_holder.items():
            age = now - watched.unchanged_since
            if (
                watched.row.dead
                and holder not in referenced
                and age > 2 * self._settings.poll_interval_s
            ):
                yield DeleteHeartbeat(watched.row)

    def _has_expired(self, watched: _WatchedRow, now: float) -> bool:
        if watched.row.dead:
            return False
        settings = self._settings
        unchanged_s = now - watched.unchanged_since
        if unchanged_s >= settings.lease_s + settings.margin_s:
            return True
        if watched.row.witness != self._daemon:
            return False
        granted_at = self._granted_at_by_holder.get(watched.row.holder, 0)
        since = max(granted_at, watched.first_seen_at)
        return now - since >= settings.witness_lease_s + settings.margin_s

    def _declare_dead(
        self, row: HeartbeatRow, expected: int | None, now: float
    ) -> Iterator[WriteHeartbeat]:
        if row.holder in self._writes_in_flight:
            return
        self._fenced_at_by_holder[row.holder] = now
        self._writes_in_flight.add(row.holder)
        yield WriteHeartbeat(row, expected)

    def _update_row(self, row: HeartbeatRow, now: float) -> None:
        watched = self._watched_by_holder.get(row.holder)
        if watched is None:
            self._watched_by_holder[row.holder] = _WatchedRow(row, now, now)
        elif row.counter > watched.row.counter:
            watched.row = row
            watched.unchanged_since = now
        else:
            return
        if not row.dead and row.holder not in self._writes_in_flight:
            self._fenced_at_by_holder.pop(row.holder, None)

    def _remove_deleted(
        self, at_by_holder: dict[str, float], now: float
    ) -> None:
        # A holder whose row was deleted may still rely on its long lease.
        oldest = now - self._settings.lease_s - self._settings.margin_s
        for holder, noted_at in tuple(at_by_holder.items()):
            if noted_at < oldest and holder not in self._watched_by_holder:
                at_by_holder.pop(holder)
