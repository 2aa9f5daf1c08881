"""The token bucket of one shard of a workspace's rate.

The holder of a shard spends tokens of the bucket itself and grants tokens to
other daemons. Granted tokens count against the burst until the receiver
settles them or the grant expires. Therefore at most `rate * t + burst` tokens
of the shard are spent in any window of `t` seconds, over all daemons.
"""

from dataclasses import dataclass

HOLDER_GRANT_VALIDITY_S = 1.1
"""How long a holder counts a grant, on its own clock, from its answer."""

# Tokens that would have overflowed a full bucket are not taken back. The peak
# level of each of the last slots shows whether the bucket was full.
_PEAK_SLOT_S = 0.25
_PEAK_SLOT_COUNT = 8


@dataclass(slots=True)
class OutstandingGrant:
    """Track the granted tokens that the receiver may still spend."""

    amount: float
    expires_at: float


class Bucket:
    """Refill, spend and grant the tokens of one shard.

    The sum of the level and of the outstanding grants never exceeds the
    burst. The refill starts at `starts_at` with an empty bucket. The rate is
    in tokens per second; times are monotonic, in seconds.
    """

    __slots__ = (
        '_current_slot',
        '_grants_by_id',
        '_peaks',
        '_starts_at',
        '_updated_at',
        'burst',
        'level',
        'outstanding',
        'rate',
    )

    def __init__(self, rate: float, burst: float, starts_at: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = float(0)
        self.outstanding = float(0)
        self._starts_at = starts_at
        self._updated_at = starts_at
        self._grants_by_id: dict[str, OutstandingGrant] = {}
        self._peaks = [float(0) for _ in range(_PEAK_SLOT_COUNT)]
        self._current_slot = int(starts_at / _PEAK_SLOT_S)

    def refill_blocked_within(self, horizon_s: float) -> bool:
        """Return whether the refill may stop within `horizon_s`.

        Outstanding grants stop it, as they count against the burst.
        """
        free_capacity = self.burst - self.level - self.outstanding
        return free_capacity < self.rate * horizon_s

    def refill(self, now: float) -> None:
        """Add the tokens due and drop expired grants, in order of time."""
        if now <= self._updated_at:
            return
        if self._grants_by_id:
            self._expire_grants(now)
        self._add_due_tokens(now)

    def take(self, amount: float) -> float:
        """Spend up to `amount` tokens and return how many were spent."""
        taken = min(amount, self.level)
        self.level -= taken
        return taken

    def grant(self, grant_id: str, amount: float, now: float) -> float:
        """Grant up to `amount` tokens and return how many were granted.

        A duplicate request for an outstanding grant returns 0.
        """
        if grant_id in self._grants_by_id:
            return 0
        self.refill(now)
        taken = self.take(amount)
        if taken > 0:
            self._grants_by_id[grant_id] = OutstandingGrant(
                taken, now + HOLDER_GRANT_VALIDITY_S
            )
            self.outstanding += taken
        return taken

    def settle(
        self, grant_id: str, remaining: float, returned: float, now: float
    ) -> None:
        """Reduce a grant to `remaining` tokens; take back `returned` tokens.

        Idempotent: duplicate and late settlements change nothing, because a
        grant only shrinks and its tokens can be returned only while it is
        outstanding.
        """
        self.refill(now)
        grant = self._grants_by_id.get(grant_id)
        if grant is None:
            return
        kept = min(grant.amount, remaining)
        self.outstanding -= grant.amount - kept
        self.level += min(returned, grant.amount - kept)
        grant.amount = kept
        if kept <= 0:
            self._grants_by_id.pop(grant_id)
        if not self._grants_by_id:
            self.outstanding = float(0)

    def give_back(self, amount: float, spent_at: float, now: float) -> None:
        """Return spent tokens as if they had never been spent.

        Tokens that would have overflowed the bucket since `spent_at` stay
        lost, and so do tokens spent before the oldest recorded peak.
        """
        if spent_at < self._starts_at:
            return
        self.refill(now)
        self._record_peak(now)
        slots = range(int(spent_at / _PEAK_SLOT_S), self._current_slot + 1)
        if len(slots) > _PEAK_SLOT_COUNT or not slots:
            return
        peak = max(self._peaks[slot % _PEAK_SLOT_COUNT] for slot in slots)
        restored = min(amount, max(0, self.burst - peak))
        self.level += restored
        for slot in slots:
            self._peaks[slot % _PEAK_SLOT_COUNT] += restored

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Apply the limits of a new revision from `now`."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, max(0, burst - self.outstanding))

    def _expire_grants(self, now: float) -> None:
        for grant_id, grant in tuple(self._grants_by_id.items()):
            if grant.expires_at > now:
                return
            self._add_due_tokens(grant.expires_at)
            self._grants_by_id.pop(grant_id)
            self.outstanding -= grant.amount
        self.outstanding = float(0)

    def _add_due_tokens(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        free_capacity = self.burst - self.outstanding - self.level
        if free_capacity > 0:
            self.level += min(free_capacity, self.rate * elapsed)
        self._updated_at = now
        self._record_peak(now)

    def _record_peak(self, now: float) -> None:
        total = self.level + self.outstanding
        slot = int(now / _PEAK_SLOT_S)
        peaks = self._peaks
        if slot > self._current_slot:
            first = max(self._current_slot + 1, slot - _PEAK_SLOT_COUNT + 1)
            index = self._current_slot % _PEAK_SLOT_COUNT
            peaks[index] = max(peaks[index], total)
            for later in range(first, slot):
                peaks[later % _PEAK_SLOT_COUNT] = total
            peaks[slot % _PEAK_SLOT_COUNT] = total
            self._current_slot = slot
        elif total > peaks[slot % _PEAK_SLOT_COUNT]:
            peaks[slot % _PEAK_SLOT_COUNT] = total
