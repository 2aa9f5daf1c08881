"""The heartbeat row of one daemon, which renews all of its leases.

The daemon may use its shards while both of these conditions hold: its last
confirmed renewal is younger than the lease, counted from before the write was
first sent; and each witness named by the confirmed row or by an unresolved
write has granted a short lease, counted from before the request was sent. The
second condition lets a witness take over within seconds, while the lease
itself may be long enough to outlast an outage of the store.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from dragonflyknot.decisions.leasemessages import (
    NO_DAEMON,
    AskWitness,
    HeartbeatRow,
    LeaseCommand,
    LeaseSettings,
    WitnessAnswered,
    WriteHeartbeat,
)
from dragonflyknot.decisions.placement import Candidate, choose_witness


@dataclass(slots=True)
class _PendingWrite:
    """Track a write until its outcome is known."""

    row: HeartbeatRow
    expected: int | None
    first_sent_at: float
    retry_at: float
    in_flight: bool = True


class Heartbeat:
    """Create, renew and release the heartbeat row of one daemon."""

    def __init__(self, me: Candidate, settings: LeaseSettings) -> None:
        self._me = me
        self._settings = settings
        self._term = 1
        self._row: HeartbeatRow | None = None
        self._pending: _PendingWrite | None = None
        self._renewed_at = float(0)
        self._candidates_by_daemon: dict[str, Candidate] = {}
        self._granted_until_by_daemon: dict[str, float] = {}
        self._last_heard_at_by_daemon: dict[str, float] = {}
        self._next_witness = NO_DAEMON
        self._next_request_at = float(0)

    @property
    def holder(self) -> str:
        """Return the holder id of this daemon in its current term."""
        return f'{self._me.daemon}/{self._term}'

    @property
    def row(self) -> HeartbeatRow | None:
        """Return the last confirmed row."""
        return self._row

    @property
    def unresolved(self) -> bool:
        """Return whether the outcome of a write is unknown."""
        return self._pending is not None

    def usable_until(self) -> float:
        """Return until when the shards may be used, 0 without a lease."""
        if self._row is None or self._row.dead:
            return 0
        until = self._renewed_at + self._settings.lease_s
        for witness in self._required_witnesses():
            granted = self._granted_until_by_daemon.get(witness, 0)
            until = min(until, granted)
        return until

    def witness_host(self) -> str | None:
        """Return the host of the confirmed witness, if it is a candidate."""
        witness = NO_DAEMON if self._row is None else self._row.witness
        candidate = self._candidates_by_daemon.get(witness)
        return None if candidate is None else candidate.host

    def set_candidates(self, candidates: tuple[Candidate, ...]) -> None:
        """Set the daemons from which witnesses are chosen."""
        self._candidates_by_daemon = {
            candidate.daemon: candidate
            for candidate in candidates
            if candidate.daemon != self._me.daemon
        }

    def tick(self, now: float, wanted: bool) -> Iterator[LeaseCommand]:
        """Request short leases and write the row when either is due.

        The row is created only if it is `wanted`.
        """
        if self._row is None and not wanted and self._pending is None:
            return
        self._update_next_witness(now)
        if now >= self._next_request_at:
            yield from self._request_leases(now)
        if self._pending is not None:
            yield from self._retry_pending(now)
        elif self._is_write_due(now):
            yield self._write(self._next_row(self._has_grant(now)), now)

    def witness_answered(self, answer: WitnessAnswered, now: float) -> None:
        """Handle the answer of a witness."""
        if answer.holder != self.holder or not answer.granted:
            return
        self._last_heard_at_by_daemon[answer.witness] = now
        until = answer.asked_at + self._settings.witness_lease_s
        known = self._granted_until_by_daemon.get(answer.witness, 0)
        self._granted_until_by_daemon[answer.witness] = max(known, until)

    def write_applied(self, row: HeartbeatRow) -> None:
        """Handle a write of the own row that took effect."""
        pending = self._pending
        if pending is None or pending.row != row:
            return
        # The first attempt may be the one that took effect.
        self._renewed_at = pending.first_sent_at
        self._row = pending.row
        self._pending = None

    def write_unresolved(self, row: HeartbeatRow, now: float) -> None:
        """Schedule a retry of a write that may have taken effect."""
        pending = self._pending
        if pending is not None and pending.row == row:
            pending.in_flight = False
            pending.retry_at = now + self._settings.retry_delay_s

    def check_row(self, row: HeartbeatRow | None) -> bool:
        """Compare with the row in the table; return if leases are lost."""
        if row is None:
            return self._row is not None
        self.write_applied(row)
        return row.dead and row != self._row

    def begin_term(self) -> None:
        """Start a new term after the leases were lost."""
        self._term += 1
        self._row = None
        self._pending = None
        self._granted_until_by_daemon.clear()
        self._last_heard_at_by_daemon.clear()
        self._next_witness = NO_DAEMON

    def release(self, now: float) -> Iterator[LeaseCommand]:
        """Mark the own row as dead, which releases every shard."""
        pending = self._pending
        if pending is not None:
            yield from self._retry_pending(now)
        elif self._row is not None and not self._row.dead:
            dead = replace(self._row, counter=self._row.counter + 1, dead=True)
            yield self._write(dead, now)

    def _required_witnesses(self) -> frozenset[str]:
        rows = [self._row, None if self._pending is None else self._pending.row]
        return frozenset(
            row.witness
            for row in rows
            if row is not None and row.witness != NO_DAEMON
        )

    def _update_next_witness(self, now: float) -> None:
        if self._pending is not None:
            return
        witness = NO_DAEMON if self._row is None else self._row.witness
        if self._is_responsive(witness, now):
            self._next_witness = witness
        elif not self._is_responsive(self._next_witness, now):
            self._next_witness = self._choose_witness(now)

    def _choose_witness(self, now: float) -> str:
        heard_at_by_silent = {
            daemon: heard_at
            for daemon, heard_at in self._last_heard_at_by_daemon.items()
            if not self._is_responsive(daemon, now)
        }
        candidates = tuple(self._candidates_by_daemon.values())
        chosen = choose_witness(self._me, candidates, heard_at_by_silent)
        if chosen is None:
            return NO_DAEMON
        # A new witness gets the full timeout before it counts as silent.
        self._last_heard_at_by_daemon[chosen.daemon] = now
        return chosen.daemon

    def _is_responsive(self, daemon: str, now: float) -> bool:
        if daemon not in self._candidates_by_daemon:
            return False
        heard_at = self._last_heard_at_by_daemon.get(daemon)
        if heard_at is None:
            return False
        return now - heard_at < self._settings.witness_timeout_s

    def _request_leases(self, now: float) -> Iterator[LeaseCommand]:
        self._next_request_at = now + self._settings.witness_request_interval_s
        for daemon in sorted(self._required_witnesses() | {self._next_witness}):
            candidate = self._candidates_by_daemon.get(daemon)
            if candidate is not None:
                yield AskWitness(candidate.host, daemon, self.holder, now)

    def _has_grant(self, now: float) -> bool:
        granted_until = self._granted_until_by_daemon.get(self._next_witness, 0)
        return not self._candidates_by_daemon or now < granted_until

    def _is_write_due(self, now: float) -> bool:
        granted = self._has_grant(now)
        if self._row is None:
            return granted
        if self._row.dead:
            return False
        if granted and self._next_witness != self._row.witness:
            return True
        return now - self._renewed_at >= self._settings.renew_interval_s

    def _next_row(self, granted: bool) -> HeartbeatRow:
        if self._row is None:
            return HeartbeatRow(
                self.holder, self._me.daemon, 1, self._next_witness
            )
        return replace(
            self._row,
            counter=self._row.counter + 1,
            witness=self._next_witness if granted else self._row.witness,
        )

    def _retry_pending(self, now: float) -> Iterator[LeaseCommand]:
        pending = self._pending
        if pending is None or pending.in_flight or now < pending.retry_at:
            return
        pending.in_flight = True
        yield WriteHeartbeat(pending.row, pending.expected)

    def _write(self, row: HeartbeatRow, now: float) -> WriteHeartbeat:
        expected = None if self._row is None else self._row.counter
        self._pending = _PendingWrite(row, expected, now, now)
        return WriteHeartbeat(row, expected)
