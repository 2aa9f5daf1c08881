"""The heartbeat row of one daemon, which carries all its leases.

The daemon may use its shards while two things hold: its last confirmed
renewal, counted from before it was first sent, is younger than the lease;
and each witness named by the confirmed row or by an unresolved write has
granted a short lease, counted from before it was asked. The second lets a
witness take over within seconds, while the first may be long enough to
outlast an outage of the store.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from dragonflyknot.decisions.leaserows import (
    NOBODY,
    AskWitness,
    HeartbeatRow,
    LeaseCommand,
    LeaseSettings,
    WitnessAnswered,
    WriteHeartbeat,
)
from dragonflyknot.decisions.placement import Candidate, choose_witness


@dataclass(slots=True)
class _Pending:
    """Track a write until it is known whether it took effect."""

    row: HeartbeatRow
    expected: int | None
    first_sent_at: float
    retry_at: float
    in_flight: bool = True


class Heartbeat:
    """Create, renew and give up the heartbeat row of one daemon."""

    def __init__(self, me: Candidate, settings: LeaseSettings) -> None:
        self._me = me
        self._settings = settings
        self._term = 1
        self._row: HeartbeatRow | None = None
        self._pending: _Pending | None = None
        self._renewed_at = float(0)
        self._candidates_by_daemon: dict[str, Candidate] = {}
        self._granted_until_by_daemon: dict[str, float] = {}
        self._heard_at_by_daemon: dict[str, float] = {}
        self._prospect = NOBODY
        self._ask_at = float(0)

    @property
    def holder(self) -> str:
        """Name the present holder of this daemon's leases."""
        return f'{self._me.daemon}/{self._term}'

    @property
    def row(self) -> HeartbeatRow | None:
        """Return the row as last confirmed."""
        return self._row

    @property
    def unresolved(self) -> bool:
        """Tell whether a write may still take effect."""
        return self._pending is not None

    def usable_until(self) -> float:
        """Return the time at which the right to use the shards ends."""
        if self._row is None or self._row.dead:
            return 0
        until = self._renewed_at + self._settings.lease_s
        for witness in self._required():
            granted = self._granted_until_by_daemon.get(witness, 0)
            until = min(until, granted)
        return until

    def witness_host(self) -> str | None:
        """Return the host of the confirmed witness."""
        witness = NOBODY if self._row is None else self._row.witness
        candidate = self._candidates_by_daemon.get(witness)
        return None if candidate is None else candidate.host

    def change_candidates(self, candidates: tuple[Candidate, ...]) -> None:
        """Choose witnesses from these daemons from now on."""
        self._candidates_by_daemon = {
            candidate.daemon: candidate
            for candidate in candidates
            if candidate.daemon != self._me.daemon
        }

    def tick(self, now: float, wanted: bool) -> Iterator[LeaseCommand]:
        """Ask witnesses, and write the row if that is due.

        The row is created only if it is `wanted`.
        """
        if self._row is None and not wanted and self._pending is None:
            return
        self._choose_prospect(now)
        if now >= self._ask_at:
            yield from self._ask_witnesses(now)
        if self._pending is not None:
            yield from self._retry(now)
        elif self._may_write(now):
            yield self._write(self._next_row(self._granted(now)), now)

    def answered(self, answer: WitnessAnswered, now: float) -> None:
        """Take in the answer of a witness."""
        if answer.holder != self.holder or not answer.granted:
            return
        self._heard_at_by_daemon[answer.witness] = now
        until = answer.asked_at + self._settings.witness_lease_s
        known = self._granted_until_by_daemon.get(answer.witness, 0)
        self._granted_until_by_daemon[answer.witness] = max(known, until)

    def written(self, row: HeartbeatRow) -> None:
        """Learn that a write of the own row took effect."""
        pending = self._pending
        if pending is None or pending.row != row:
            return
        # The first try may be the one that took effect.
        self._renewed_at = pending.first_sent_at
        self._row = pending.row
        self._pending = None

    def unanswered(self, row: HeartbeatRow, now: float) -> None:
        """Try the same write again later; it may have taken effect."""
        pending = self._pending
        if pending is not None and pending.row == row:
            pending.in_flight = False
            pending.retry_at = now + self._settings.retry_s

    def seen(self, row: HeartbeatRow | None) -> bool:
        """Compare with the row in the table; tell if the leases are lost."""
        if row is None:
            return self._row is not None
        self.written(row)
        return row.dead and row != self._row

    def begin_term(self) -> None:
        """Start anew after the leases were lost."""
        self._term += 1
        self._row = None
        self._pending = None
        self._granted_until_by_daemon.clear()
        self._heard_at_by_daemon.clear()
        self._prospect = NOBODY

    def give_up(self, now: float) -> Iterator[LeaseCommand]:
        """Declare the own row dead, which releases every shard."""
        pending = self._pending
        if pending is not None:
            yield from self._retry(now)
        elif self._row is not None and not self._row.dead:
            dead = replace(self._row, counter=self._row.counter + 1, dead=True)
            yield self._write(dead, now)

    def _required(self) -> frozenset[str]:
        rows = [self._row, None if self._pending is None else self._pending.row]
        return frozenset(
            row.witness
            for row in rows
            if row is not None and row.witness != NOBODY
        )

    def _choose_prospect(self, now: float) -> None:
        if self._pending is not None:
            return
        witness = NOBODY if self._row is None else self._row.witness
        if self._fit(witness, now):
            self._prospect = witness
        elif not self._fit(self._prospect, now):
            self._prospect = self._choose(now)

    def _choose(self, now: float) -> str:
        silent = {
            daemon: heard_at
            for daemon, heard_at in self._heard_at_by_daemon.items()
            if not self._fit(daemon, now)
        }
        candidates = tuple(self._candidates_by_daemon.values())
        chosen = choose_witness(self._me, candidates, silent)
        if chosen is None:
            return NOBODY
        # A new choice has its time to answer before it counts as silent.
        self._heard_at_by_daemon[chosen.daemon] = now
        return chosen.daemon

    def _fit(self, daemon: str, now: float) -> bool:
        if daemon not in self._candidates_by_daemon:
            return False
        heard_at = self._heard_at_by_daemon.get(daemon)
        if heard_at is None:
            return False
        return now - heard_at < self._settings.witness_silent_s

    def _ask_witnesses(self, now: float) -> Iterator[LeaseCommand]:
        self._ask_at = now + self._settings.witness_ask_s
        for daemon in sorted(self._required() | {self._prospect}):
            candidate = self._candidates_by_daemon.get(daemon)
            if candidate is not None:
                yield AskWitness(candidate.host, daemon, self.holder, now)

    def _granted(self, now: float) -> bool:
        granted_until = self._granted_until_by_daemon.get(self._prospect, 0)
        return not self._candidates_by_daemon or now < granted_until

    def _may_write(self, now: float) -> bool:
        granted = self._granted(now)
        if self._row is None:
            return granted
        if self._row.dead:
            return False
        if granted and self._prospect != self._row.witness:
            return True
        return now - self._renewed_at >= self._settings.renew_s

    def _next_row(self, granted: bool) -> HeartbeatRow:
        if self._row is None:
            return HeartbeatRow(self.holder, self._me.daemon, 1, self._prospect)
        return replace(
            self._row,
            counter=self._row.counter + 1,
            witness=self._prospect if granted else self._row.witness,
        )

    def _retry(self, now: float) -> Iterator[LeaseCommand]:
        pending = self._pending
        if pending is None or pending.in_flight or now < pending.retry_at:
            return
        pending.in_flight = True
        yield WriteHeartbeat(pending.row, pending.expected)

    def _write(self, row: HeartbeatRow, now: float) -> WriteHeartbeat:
        expected = None if self._row is None else self._row.counter
        self._pending = _Pending(row, expected, now, now)
        return WriteHeartbeat(row, expected)
