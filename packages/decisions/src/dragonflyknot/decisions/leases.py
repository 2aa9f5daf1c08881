"""Lease the shards of the fleet's rates through the table.

Each candidate daemon runs one `LeaseManager`. It renews its heartbeat row
(`heartbeats`), acts as a witness for others (`witness`), acquires free shards
as planned by `placement`, and hands one over when it holds too many. Its
commands are for the table, for other daemons and for the daemon's own `Quota`.
"""

from collections.abc import Iterator
from dataclasses import replace

from dragonflyknot.decisions.heartbeats import Heartbeat
from dragonflyknot.decisions.leasemessages import (
    NO_DAEMON,
    AnswerWitness,
    CandidatesChanged,
    LayoutInstalled,
    LeaseCommand,
    LeaseEvent,
    LeaseSettings,
    LeasesReleased,
    LeaseTicked,
    Nudge,
    Nudged,
    ReadRows,
    RowsRead,
    RowsReadFailed,
    RowWrite,
    RowWriteApplied,
    RowWriteRejected,
    RowWriteUnresolved,
    ShardRow,
    StopRequested,
    WitnessAnswered,
    WitnessAsked,
    WriteHeartbeat,
    WriteShard,
)
from dragonflyknot.decisions.placement import Candidate, stable_hash
from dragonflyknot.decisions.ratemessages import (
    Holder,
    HoldersChanged,
    LayoutConfirmed,
    LeaseExtended,
    ShardGained,
    ShardLost,
)
from dragonflyknot.decisions.shardview import ShardView
from dragonflyknot.decisions.witness import Witness


class LeaseManager:
    """Acquire, keep, hand over and release the shards of one daemon."""

    def __init__(self, me: Candidate, settings: LeaseSettings) -> None:
        self._me = me
        self._settings = settings
        self._heartbeat = Heartbeat(me, settings)
        self._witness = Witness(me.daemon, settings)
        self._view = ShardView(settings.shards, self._witness.rows_by_holder)
        self._free_since_by_shard: dict[int, float] = {}
        self._epochs_by_held_shard: dict[int, int] = {}
        self._epochs_by_released_shard: dict[int, int] = {}
        self._writing_shards: set[int] = set()
        self._last_read_at: float | None = None
        self._reading = False
        self._next_read_at = float(0)
        self._last_write_at = float('-inf')
        self._usable_until = float(0)
        self._holders: tuple[Holder, ...] = ()
        self._layout: LayoutInstalled | None = None
        self._stopping = False
        self._stopped = False

    @property
    def held(self) -> frozenset[int]:
        """Return the shards that this daemon holds."""
        return frozenset(self._epochs_by_held_shard)

    @property
    def usable_until(self) -> float:
        """Return until when the shards may be used, in monotonic seconds."""
        return self._usable_until

    def handle(self, event: LeaseEvent, now: float) -> tuple[LeaseCommand, ...]:
        """Handle an event and return the commands to carry out."""
        commands = list(self._dispatch(event, now))
        commands.extend(self._report_changes())
        return tuple(commands)

    def _dispatch(
        self, event: LeaseEvent, now: float
    ) -> Iterator[LeaseCommand]:
        match event:
            case LeaseTicked():
                yield from self._tick(now)
            case RowsRead():
                yield from self._handle_rows(event, now)
            case RowsReadFailed():
                self._reading = False
                self._next_read_at = now + self._settings.retry_delay_s
            case RowWriteApplied(write):
                self._last_write_at = now
                yield from self._handle_written(write, now)
            case RowWriteRejected(write) | RowWriteUnresolved(write):
                self._write_failed(write, now)
                yield from self._read_rows(now)
            case CandidatesChanged(candidates):
                self._view.candidates = candidates
                self._heartbeat.set_candidates(candidates)
            case LayoutInstalled():
                self._layout = event
                yield from self._rewrite_layouts()
            case WitnessAsked(holder):
                granted = self._witness.grant_lease(holder, now)
                yield AnswerWitness(self._me.daemon, holder, granted)
            case WitnessAnswered():
                self._heartbeat.witness_answered(event, now)
            case Nudged():
                yield from self._read_rows(now)
            case StopRequested():
                self._stopping = True
                yield from self._drop_all()
                yield from self._stop(now)

    def _tick(self, now: float) -> Iterator[LeaseCommand]:
        if self._stopping:
            yield from self._stop(now)
            return
        candidate = self._me in self._view.candidates
        if candidate or self._heartbeat.row is not None:
            if now >= self._next_read_at:
                yield from self._read_rows(now)
            yield from self._heartbeat.tick(now, self._wants_shards())
        if candidate and self._last_read_at is not None:
            yield from self._witness.fence(
                self._view.rows_by_shard.values(), self._heartbeat.holder, now
            )
            yield from self._acquire_shards(now)

    def _stop(self, now: float) -> Iterator[LeaseCommand]:
        row = self._heartbeat.row
        has_no_row = row is None and not self._heartbeat.unresolved
        if has_no_row or (row is not None and row.dead):
            if not self._stopped:
                self._stopped = True
                yield LeasesReleased()
            return
        if self._heartbeat.unresolved:
            yield from self._read_rows(now)
        yield from self._heartbeat.release(now)

    def _read_rows(self, now: float) -> Iterator[LeaseCommand]:
        if not self._reading:
            self._reading = True
            self._next_read_at = now + self._settings.poll_interval_s
            yield ReadRows(now)

    def _handle_rows(
        self, read: RowsRead, now: float
    ) -> Iterator[LeaseCommand]:
        self._reading = False
        if read.asked_at <= self._last_write_at:
            # The rows may be older than this daemon's last write.
            yield from self._read_rows(now)
            return
        self._last_read_at = now
        self._witness.update_rows(read.heartbeats, now)
        rows = {row.holder: row for row in read.heartbeats}
        if self._heartbeat.check_row(rows.get(self._heartbeat.holder)):
            yield from self._drop_all()
            self._heartbeat.begin_term()
        self._view.rows_by_shard = {row.shard: row for row in read.shards}
        yield from self._update_held()
        # A hand-over keeps the layout, so the confirmation need not wait.
        yield from self._confirm_layout()
        self._update_free_since(now)
        if not self._stopping and self._me in self._view.candidates:
            yield from self._acquire_shards(now)
            yield from self._hand_over()
            yield from self._delete_dead_rows(now)
            yield from self._rewrite_layouts()

    def _update_held(self) -> Iterator[LeaseCommand]:
        for shard, row in self._view.rows_by_shard.items():
            mine = row.holder == self._heartbeat.holder
            held = self._epochs_by_held_shard.get(shard)
            if held is not None and (not mine or row.epoch < held):
                yield from self._drop(shard)
            if mine:
                yield from self._handle_own_row(row)

    def _handle_own_row(self, row: ShardRow) -> Iterator[LeaseCommand]:
        if row.epoch <= self._epochs_by_released_shard.get(row.shard, 0):
            yield from self._release(row)
        else:
            yield from self._hold(row)

    def _handle_written(
        self, write: RowWrite, now: float
    ) -> Iterator[LeaseCommand]:
        match write:
            case WriteHeartbeat(row):
                self._heartbeat.write_applied(row)
                self._witness.row_written(row, now)
                if self._stopping:
                    yield from self._stop(now)
                    yield from self._nudge_witness()
                else:
                    self._update_free_since(now)
                    yield from self._acquire_shards(now)
            case WriteShard(row):
                self._writing_shards.discard(row.shard)
                self._view.rows_by_shard[row.shard] = row
                if row.holder == NO_DAEMON:
                    yield from self._nudge_next_holder(row.shard)
                elif row.holder == self._heartbeat.holder:
                    yield from self._hold(row)

    def _write_failed(self, write: RowWrite, now: float) -> None:
        match write:
            case WriteHeartbeat(row):
                self._witness.write_failed(row)
                self._heartbeat.write_unresolved(row, now)
            case WriteShard(row):
                self._writing_shards.discard(row.shard)

    def _hold(self, row: ShardRow) -> Iterator[LeaseCommand]:
        if self._stopping:
            return
        is_new = row.shard not in self._epochs_by_held_shard
        self._epochs_by_held_shard[row.shard] = row.epoch
        if is_new:
            # The layout of a new shard is confirmed by a further read.
            self._next_read_at = 0
            yield ShardGained(row.shard)

    def _rewrite_layouts(self) -> Iterator[LeaseCommand]:
        """Write the layout that this daemon follows to its shard rows."""
        layout = self._layout
        if layout is None:
            return
        for shard in sorted(self._epochs_by_held_shard):
            row = self._view.rows_by_shard[shard]
            is_older = row.revision < layout.revision
            if row.layout == layout.digest or not is_older:
                continue
            if shard not in self._writing_shards:
                self._writing_shards.add(shard)
                updated = replace(
                    row,
                    epoch=row.epoch + 1,
                    revision=layout.revision,
                    layout=layout.digest,
                )
                yield WriteShard(updated, row.epoch)

    def _confirm_layout(self) -> Iterator[LeaseCommand]:
        if self._layout is None or self._writing_shards:
            return
        digests = {row.layout for row in self._view.rows_by_shard.values()}
        complete = len(self._view.rows_by_shard) >= self._settings.shards
        if complete and digests == {self._layout.digest}:
            yield LayoutConfirmed(self._layout.digest)

    def _drop(self, shard: int) -> Iterator[LeaseCommand]:
        epoch = self._epochs_by_held_shard.pop(shard)
        self._epochs_by_released_shard[shard] = epoch
        yield ShardLost(shard)

    def _drop_all(self) -> Iterator[LeaseCommand]:
        for shard in sorted(self._epochs_by_held_shard):
            yield from self._drop(shard)

    def _release(self, row: ShardRow) -> Iterator[LeaseCommand]:
        if row.shard not in self._writing_shards:
            self._writing_shards.add(row.shard)
            free = replace(
                row, holder=NO_DAEMON, daemon=NO_DAEMON, epoch=row.epoch + 1
            )
            yield WriteShard(free, row.epoch)

    def _wants_shards(self) -> bool:
        if self._last_read_at is None or self._me not in self._view.candidates:
            return False
        planned = self._view.plan().values()
        return self._me in planned or bool(
            self._view.takeover_shards(self._me.daemon)
        )

    def _acquire_shards(self, now: float) -> Iterator[LeaseCommand]:
        if self._stopping or now >= self._heartbeat.usable_until():
            return
        planned = self._view.plan()
        takeover_shards = self._view.takeover_shards(self._me.daemon)
        takeover_delay_s = 2 * self._settings.poll_interval_s
        for shard in self._view.free_shards():
            waited_s = now - self._free_since_by_shard.get(shard, now)
            mine = planned.get(shard) == self._me or shard in takeover_shards
            # A shard planned for another daemon is acquired only if that
            # daemon has not acquired it in time.
            if mine or waited_s > takeover_delay_s:
                yield from self._acquire(shard)

    def _acquire(self, shard: int) -> Iterator[LeaseCommand]:
        layout = self._layout
        if shard in self._writing_shards or layout is None:
            return
        row = self._view.rows_by_shard.get(shard)
        if row is not None and row.revision > layout.revision:
            return
        self._writing_shards.add(shard)
        expected = None if row is None else row.epoch
        acquired = ShardRow(
            shard,
            self._heartbeat.holder,
            self._me.daemon,
            (expected or 0) + 1,
            layout.revision,
            layout.digest,
        )
        yield WriteShard(acquired, expected)

    def _hand_over(self) -> Iterator[LeaseCommand]:
        counts = self._view.counts_by_daemon()
        fewest = min(
            (
                counts.get(candidate.daemon, 0)
                for candidate in self._view.eligible_candidates()
            ),
            default=0,
        )
        held_count = len(self._epochs_by_held_shard)
        if held_count < fewest + 2 or self._view.free_shards():
            return
        regions = sorted(
            {candidate.region for candidate in self._view.candidates}
        )
        shard = max(
            self._epochs_by_held_shard,
            key=lambda held: (
                regions[held % len(regions)] != self._me.region,
                stable_hash(f'{self._me.host}/{held}'),
            ),
        )
        yield from self._drop(shard)
        yield from self._release(self._view.rows_by_shard[shard])

    def _delete_dead_rows(self, now: float) -> Iterator[LeaseCommand]:
        first = min(candidate.daemon for candidate in self._view.candidates)
        if first == self._me.daemon:
            yield from self._witness.delete_dead_rows(
                self._view.rows_by_shard.values(), now
            )

    def _nudge_witness(self) -> Iterator[LeaseCommand]:
        host = self._heartbeat.witness_host()
        if host is not None:
            yield Nudge(host)

    def _nudge_next_holder(self, shard: int) -> Iterator[LeaseCommand]:
        next_holder = self._view.plan().get(shard)
        if next_holder is not None and next_holder != self._me:
            yield Nudge(next_holder.host)

    def _update_free_since(self, now: float) -> None:
        free = self._view.free_shards()
        self._free_since_by_shard = {
            shard: self._free_since_by_shard.get(shard, now) for shard in free
        }

    def _report_changes(self) -> Iterator[LeaseCommand]:
        until = float(0) if self._stopping else self._heartbeat.usable_until()
        if until != self._usable_until:
            self._usable_until = until
            yield LeaseExtended(until)
        holders = self._view.holders()
        if holders != self._holders:
            self._holders = holders
            yield HoldersChanged(holders)
