"""Local replica of the API keys, with a bound on its staleness.

The table is authoritative for the keys. Each change of a key takes the next
sequence number, and the version of a replica is the highest number up to
which it holds every change. The age of a replica is the time since the
latest moment at which the table is known to have held nothing newer. That
moment is confirmed by the store or by a fresh peer. It is dated from before
the request was sent, so that a delayed response makes the replica look
older, never younger.
"""

import math
from dataclasses import dataclass

from dragonflyknot.decisions.randomness import Randomness

MAX_CLOCK_DRIFT_FRACTION = 0.01
"""Fraction by which the clocks of two hosts may run apart."""

# Age of the replica after which a daemon of a small fleet reads the store.
STORE_READ_AGE_S = 0.4

# In a large fleet every daemon reads the store at this fraction of the bound;
# before that, the probability falls by a factor of e per spread.
LARGE_FLEET_READ_AGE_FRACTION = 0.8
LARGE_FLEET_SPREAD_S = 0.3

# A peer is asked only if its replica is fresher by more than this.
MIN_FRESHNESS_GAIN_S = 1.0

_NEVER_FRESH = float('-inf')


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Hold one key, by its SHA-256 digest, at its latest change."""

    key_hash: str
    workspace: str
    withdrawn: bool
    sequence: int


@dataclass(frozen=True, slots=True)
class KeyChanges:
    """Hold every change with `since` < sequence number <= `sequence`."""

    since: int
    sequence: int
    records: tuple[KeyRecord, ...]


@dataclass(frozen=True, slots=True)
class PeerFreshness:
    """Hold the version of a peer's replica and its age in seconds."""

    sequence: int
    age_s: float


@dataclass(frozen=True, slots=True)
class ValidKey:
    """Accept a valid key; the request runs for its workspace."""

    workspace: str


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """Refuse a key that was never issued."""


@dataclass(frozen=True, slots=True)
class WithdrawnKey:
    """Refuse a key that was withdrawn."""


@dataclass(frozen=True, slots=True)
class StaleKeys:
    """Refuse any key, because the replica is older than the bound."""


KeyCheck = ValidKey | UnknownKey | WithdrawnKey | StaleKeys


class Keyring:
    """Check keys against a replica that expires unless it is confirmed."""

    def __init__(self, bound_s: float = 2) -> None:
        """Start empty and stale; `bound_s` limits the age of the replica."""
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
        """Return the sequence number up to which every change is held."""
        return self._sequence

    @property
    def announced(self) -> frozenset[str]:
        """Return the hashes of withdrawals not yet confirmed by the table."""
        return frozenset(self._announced)

    def age_s(self, now: float) -> float:
        """Return the replica's age; infinite before the first confirmation."""
        return now - self._fresh_at

    def needs_read(
        self, now: float, rng: Randomness, *, is_large: bool
    ) -> bool:
        """Return whether to read the store rather than wait for peers.

        In a large fleet the probability of a read grows with the replica's
        age. A few early readers then refresh the other daemons, and the
        load on the store does not grow with the fleet.
        """
        age_s = self.age_s(now)
        if not is_large:
            return age_s > STORE_READ_AGE_S
        overdue_s = age_s - self.bound_s * LARGE_FLEET_READ_AGE_FRACTION
        if overdue_s >= 0:
            return True
        return rng.random() < math.exp(overdue_s / LARGE_FLEET_SPREAD_S)

    def should_refresh_from(self, peer: PeerFreshness, now: float) -> bool:
        """Return whether to request confirmation from a peer."""
        return self.age_s(now) - peer.age_s > MIN_FRESHNESS_GAIN_S

    def is_fresh(self, now: float) -> bool:
        """Return whether the replica is within its maximum age."""
        return self.age_s(now) <= self.bound_s

    def check(self, key_hash: str, now: float) -> KeyCheck:
        """Check the key of one request; the result must not be reused."""
        record = self._records_by_hash.get(key_hash)
        if record is not None and record.withdrawn:
            return WithdrawnKey()
        if not self.is_fresh(now):
            return StaleKeys()
        if record is None:
            return UnknownKey()
        return ValidKey(record.workspace)

    def install(self, changes: KeyChanges) -> bool:
        """Apply changes; return false if earlier ones are missing.

        A withdrawal is final, so it takes effect in either case.
        """
        for record in changes.records:
            self._merge(record)
        if changes.since > self._sequence:
            return False
        self._sequence = max(self._sequence, changes.sequence)
        return True

    def withdraw(self, key_hash: str) -> None:
        """Refuse a key at once, before the table confirms the withdrawal."""
        if not self.has_withdrawn(key_hash):
            self._announced.add(key_hash)
            self._merge(KeyRecord(key_hash, '', withdrawn=True, sequence=0))

    def has_withdrawn(self, key_hash: str) -> bool:
        """Return whether a key is held as withdrawn."""
        record = self._records_by_hash.get(key_hash)
        return record is not None and record.withdrawn

    def confirm_by_store(self, sequence: int, asked_at: float) -> bool:
        """Confirm the replica by the table's sequence number.

        The number was read after `asked_at`, in local monotonic seconds.
        Return false if the replica lacks changes, which must be fetched.
        """
        if sequence > self._sequence:
            return False
        self._fresh_at = max(self._fresh_at, asked_at)
        return True

    def confirm_by_peer(self, peer: PeerFreshness, asked_at: float) -> bool:
        """Confirm the replica by a peer's response to a request.

        The peer computed its age when it responded, which was after
        `asked_at`. Return false if the peer holds changes that are missing
        here. A peer at an earlier version can confirm too: the table then
        held nothing newer than that, so nothing newer than this replica.
        """
        if peer.sequence > self._sequence:
            return False
        age_s = max(0, peer.age_s) * (1 + MAX_CLOCK_DRIFT_FRACTION)
        self._fresh_at = max(self._fresh_at, asked_at - age_s)
        return True

    def confirm_by_outage(self, confirmed_until: float) -> None:
        """Confirm that the table accepted no change up to `confirmed_until`."""
        self._fresh_at = max(self._fresh_at, confirmed_until)

    def freshness(self, now: float) -> PeerFreshness:
        """Return the version and age of this replica, for a peer."""
        return PeerFreshness(self._sequence, self.age_s(now))

    def changes_since(self, since: int) -> KeyChanges:
        """Return the changes that a peer at version `since` lacks."""
        records = [
            record
            for record in self._records_by_hash.values()
            if record.sequence > since
        ]
        return KeyChanges(
            min(since, self._sequence), self._sequence, tuple(records)
        )

    def _merge(self, record: KeyRecord) -> None:
        if record.withdrawn and record.sequence:
            self._announced.discard(record.key_hash)
        current = self._records_by_hash.get(record.key_hash)
        if current is None:
            self._records_by_hash[record.key_hash] = record
            return
        # A withdrawal is final, whatever record arrives later.
        withdrawn = current.withdrawn or record.withdrawn
        newest = max(current, record, key=_sequence_of)
        self._records_by_hash[record.key_hash] = KeyRecord(
            newest.key_hash,
            newest.workspace or current.workspace or record.workspace,
            withdrawn,
            newest.sequence,
        )


def _sequence_of(record: KeyRecord) -> int:
    return record.sequence
