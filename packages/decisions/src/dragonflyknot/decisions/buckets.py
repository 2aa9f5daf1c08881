"""The token bucket of one shard of a workspace's rate.

The holder of a shard spends from the bucket itself and lends tokens to
other daemons. Lent tokens count against the burst until the borrower
reports them or the loan expires, so that in every window of `t` seconds at
most `rate * t + burst` tokens of the shard are spent, wherever they are.
"""

from dataclasses import dataclass

LENDER_VALIDITY_S = 1.1
"""How long a lender counts a grant, on its clock, from its answer."""

_PEAK_SLOT_S = 0.25
_PEAK_SLOTS = 8


@dataclass(slots=True)
class Loan:
    """Track tokens that a borrower may still spend."""

    amount: float
    expires_at: float


class Bucket:
    """Mint, spend and lend the tokens of one shard.

    The sum of the level and of the loans never exceeds the burst. Minting
    begins at `starts_at` with an empty bucket.
    """

    __slots__ = (
        '_loans_by_id',
        '_peak_slot',
        '_peaks',
        '_starts_at',
        '_updated_at',
        'burst',
        'lent',
        'level',
        'rate',
    )

    def __init__(self, rate: float, burst: float, starts_at: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = float(0)
        self.lent = float(0)
        self._starts_at = starts_at
        self._updated_at = starts_at
        self._loans_by_id: dict[str, Loan] = {}
        self._peaks = [float(0) for _ in range(_PEAK_SLOTS)]
        self._peak_slot = int(starts_at / _PEAK_SLOT_S)

    def blocked_within(self, horizon_s: float) -> bool:
        """Tell whether lent tokens may stop the minting in `horizon_s`."""
        room = self.burst - self.level - self.lent
        return room < self.rate * horizon_s

    def refill(self, now: float) -> None:
        """Mint what is due and drop expired loans, in order of time."""
        if now <= self._updated_at:
            return
        if self._loans_by_id:
            self._expire_loans(now)
        self._mint(now)

    def take(self, amount: float) -> float:
        """Spend up to `amount` tokens and return how many were there."""
        taken = min(amount, self.level)
        self.level -= taken
        return taken

    def lend(self, grant_id: str, amount: float, now: float) -> float:
        """Lend up to `amount` tokens and return how many were there."""
        if grant_id in self._loans_by_id:
            return 0
        self.refill(now)
        taken = self.take(amount)
        if taken > 0:
            self._loans_by_id[grant_id] = Loan(taken, now + LENDER_VALIDITY_S)
            self.lent += taken
        return taken

    def settle(
        self, grant_id: str, remaining: float, returned: float, now: float
    ) -> None:
        """Count a loan down to `remaining`; take `returned` tokens back.

        Doubled and late reports change nothing, because a loan only
        shrinks and its tokens can be returned only while it is counted.
        """
        self.refill(now)
        loan = self._loans_by_id.get(grant_id)
        if loan is None:
            return
        kept = min(loan.amount, remaining)
        self.lent -= loan.amount - kept
        self.level += min(returned, loan.amount - kept)
        loan.amount = kept
        if kept <= 0:
            self._loans_by_id.pop(grant_id)
        if not self._loans_by_id:
            self.lent = float(0)

    def give_back(self, amount: float, spent_at: float, now: float) -> None:
        """Undo a spending as if it had never happened.

        A token that would have overflowed since `spent_at` stays lost, and
        so does one that was spent too long ago to know.
        """
        if spent_at < self._starts_at:
            return
        self.refill(now)
        self._note_peak(now)
        slots = range(int(spent_at / _PEAK_SLOT_S), self._peak_slot + 1)
        if len(slots) > _PEAK_SLOTS or not slots:
            return
        peak = max(self._peaks[slot % _PEAK_SLOTS] for slot in slots)
        regained = min(amount, max(0, self.burst - peak))
        self.level += regained
        for slot in slots:
            self._peaks[slot % _PEAK_SLOTS] += regained

    def change(self, rate: float, burst: float, now: float) -> None:
        """Go on with the limits of a new revision from `now`."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, max(0, burst - self.lent))

    def _expire_loans(self, now: float) -> None:
        for grant_id, loan in tuple(self._loans_by_id.items()):
            if loan.expires_at > now:
                return
            self._mint(loan.expires_at)
            self._loans_by_id.pop(grant_id)
            self.lent -= loan.amount
        self.lent = float(0)

    def _mint(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        room = self.burst - self.lent - self.level
        if room > 0:
            self.level += min(room, self.rate * elapsed)
        self._updated_at = now
        self._note_peak(now)

    def _note_peak(self, now: float) -> None:
        total = self.level + self.lent
        slot = int(now / _PEAK_SLOT_S)
        peaks = self._peaks
        if slot > self._peak_slot:
            first = max(self._peak_slot + 1, slot - _PEAK_SLOTS + 1)
            index = self._peak_slot % _PEAK_SLOTS
            peaks[index] = max(peaks[index], total)
            for later in range(first, slot):
                peaks[later % _PEAK_SLOTS] = total
            peaks[slot % _PEAK_SLOTS] = total
            self._peak_slot = slot
        elif total > peaks[slot % _PEAK_SLOTS]:
            peaks[slot % _PEAK_SLOTS] = total
