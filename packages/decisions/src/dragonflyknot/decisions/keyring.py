"""The daemon's copy of the keys and how long it can vouch for them.

The table is the owner of the keys. Each change of a key takes the next
sequence number, and a copy is identified by the highest number up to which
it holds every change. The copy is as fresh as the latest moment at which
the table held nothing newer. That moment comes from the store, or from a
peer that is itself fresh, and is always counted from before the question
was sent, so that a delayed answer makes the copy look older, never younger.
"""

import math
from dataclasses import dataclass

from dragonflyknot.decisions.randomness import Randomness

MAXIMUM_CLOCK_DRIFT = 0.01
"""Fraction by which the clocks of two hosts may run apart."""

READ_AFTER_S = 0.4
LARGE_FLEET_READ_SHARE = 0.8
LARGE_FLEET_SPREAD_S = 0.3
WORTHWHILE_GAIN_S = 1.0

_NEVER_FRESH = float('-inf')


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Hold one key by its SHA-256 digest and the number of its change."""

    key_hash: str
    workspace: str
    withdrawn: bool
    sequence: int


@dataclass(frozen=True, slots=True)
class KeyChanges:
    """Hold every change with `since` < number <= `sequence`."""

    since: int
    sequence: int
    records: tuple[KeyRecord, ...]


@dataclass(frozen=True, slots=True)
class PeerFreshness:
    """Tell how long ago, in seconds, a peer's copy was the newest."""

    sequence: int
    age_s: float


@dataclass(frozen=True, slots=True)
class Vouched:
    """Let the request run for the workspace of its key."""

    workspace: str


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """Refuse a key that was never issued."""


@dataclass(frozen=True, slots=True)
class WithdrawnKey:
    """Refuse a key that was withdrawn."""


@dataclass(frozen=True, slots=True)
class StaleKeys:
    """Refuse any key, since the copy is older than the bound allows."""


KeyCheck = Vouched | UnknownKey | WithdrawnKey | StaleKeys


class Keyring:
    """Check keys against a copy that expires when it is not confirmed."""

    def __init__(self, bound_s: float = 2) -> None:
        """Start empty and stale; `bound_s` limits the age of the copy."""
        self.bound_s = bound_s
        self._records_by_hash: dict[str, KeyRecord] = {}
        self._announced: set[str] = set()
        self._sequence = 0
        self._fresh_at = _NEVER_FRESH

    def __len__(self) -> int:
        """Return the number of keys held, withdrawn ones included."""
        return len(self._records_by_hash)

    @property
    def sequence(self) -> int:
        """Return the number up to which every change is held."""
        return self._sequence

    @property
    def announced(self) -> frozenset[str]:
        """Return the withdrawals that the table is not known to hold."""
        return frozenset(self._announced)

    def age_s(self, now: float) -> float:
        """Return the age of the copy; infinite before the first answer."""
        return now - self._fresh_at

    def needs_read(
        self, now: float, rng: Randomness, *, is_large: bool
    ) -> bool:
        """Return whether to read the store rather than wait for peers.

        In a large fleet the chance of a read grows with the copy's age, so
        that a few early readers make the copies of the others fresh and the
        store's reads do not grow with the fleet.
        """
        age_s = self.age_s(now)
        if not is_large:
            return age_s > READ_AFTER_S
        late_s = age_s - self.bound_s * LARGE_FLEET_READ_SHARE
        if late_s >= 0:
            return True
        return rng.random() < math.exp(late_s / LARGE_FLEET_SPREAD_S)

    def gains_from(self, peer: PeerFreshness, now: float) -> bool:
        """Return whether it is worth a question to a peer that told this."""
        return self.age_s(now) - peer.age_s > WORTHWHILE_GAIN_S

    def is_fresh(self, now: float) -> bool:
        """Return whether keys can be vouched for."""
        return self.age_s(now) <= self.bound_s

    def check(self, key_hash: str, now: float) -> KeyCheck:
        """Decide on a request; checked anew for each one."""
        record = self._records_by_hash.get(key_hash)
        if record is not None and record.withdrawn:
            return WithdrawnKey()
        if not self.is_fresh(now):
            return StaleKeys()
        if record is None:
            return UnknownKey()
        return Vouched(record.workspace)

    def install(self, changes: KeyChanges) -> bool:
        """Take in changes; false when earlier ones are missing.

        A withdrawal takes effect even then, since it is final.
        """
        for record in changes.records:
            self._take(record)
        if changes.since > self._sequence:
            return False
        self._sequence = max(self._sequence, changes.sequence)
        return True

    def withdraw(self, key_hash: str) -> None:
        """Refuse a key at once, ahead of the table's confirmation."""
        if not self.has_withdrawn(key_hash):
            self._announced.add(key_hash)
            self._take(KeyRecord(key_hash, '', withdrawn=True, sequence=0))

    def has_withdrawn(self, key_hash: str) -> bool:
        """Return whether a key is held as withdrawn."""
        record = self._records_by_hash.get(key_hash)
        return record is not None and record.withdrawn

    def confirm_by_store(self, sequence: int, asked_at: float) -> bool:
        """Note the table's number, read after `asked_at` (local seconds).

        False says that the copy lacks changes, which have to be fetched.
        """
        if sequence > self._sequence:
            return False
        self._fresh_at = max(self._fresh_at, asked_at)
        return True

    def confirm_by_peer(self, peer: PeerFreshness, asked_at: float) -> bool:
        """Note a peer's freshness, heard in answer to a question.

        The peer counted its age when it answered, which was after
        `asked_at`. False says that the peer holds changes that are missing.
        A peer with fewer changes vouches too: the table held nothing newer
        than its number then, so nothing newer than this copy either.
        """
        if peer.sequence > self._sequence:
            return False
        age_s = max(0, peer.age_s) * (1 + MAXIMUM_CLOCK_DRIFT)
        self._fresh_at = max(self._fresh_at, asked_at - age_s)
        return True

    def confirm_by_outage(self, agreed_at: float) -> None:
        """Note that up to `agreed_at` the table could accept no change."""
        self._fresh_at = max(self._fresh_at, agreed_at)

    def freshness(self, now: float) -> PeerFreshness:
        """Return what this daemon can tell a peer that asks."""
        return PeerFreshness(self._sequence, self.age_s(now))

    def changes_since(self, since: int) -> KeyChanges:
        """Return what a peer that holds `since` lacks."""
        records = [
            record
            for record in self._records_by_hash.values()
            if record.sequence > since
        ]
        return KeyChanges(
            min(since, self._sequence), self._sequence, tuple(records)
        )

    def _take(self, record: KeyRecord) -> None:
        if record.withdrawn and record.sequence:
            self._announced.discard(record.key_hash)
        known = self._records_by_hash.get(record.key_hash)
        if known is None:
            self._records_by_hash[record.key_hash] = record
            return
        # A withdrawal is final, whatever comes late.
        withdrawn = known.withdrawn or record.withdrawn
        newest = max(known, record, key=_sequence_of)
        self._records_by_hash[record.key_hash] = KeyRecord(
            newest.key_hash,
            newest.workspace or known.workspace or record.workspace,
            withdrawn,
            newest.sequence,
        )


def _sequence_of(record: KeyRecord) -> int:
    return record.sequence
