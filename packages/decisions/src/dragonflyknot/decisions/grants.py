"""What edges and the holders of shards tell each other about tokens.

An edge asks a holder with a `GrantRequest`; the holder debits its buckets
and answers with a `GrantAnswer` for the same id. The edge counts the
validity of a grant from the moment it asked, the holder from the moment it
answered, so the edge always stops first. Requests also carry settlements:
what is left of earlier grants, and what the edge gives up unspent.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

EDGE_VALIDITY_S = 1.0
"""How long an edge may spend a grant, on its clock, from its asking."""


@dataclass(frozen=True, slots=True)
class Settlement:
    """Report that `remaining` tokens of a grant may still be spent.

    `returned` tokens were given up unspent; they are no part of
    `remaining`.
    """

    grant_id: str
    remaining: float
    returned: float


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Ask for up to `amount` tokens; an amount of 0 only settles."""

    grant_id: str
    workspace: str
    amount: float
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantAnswer:
    """Grant `amount` tokens, 0 if there are none.

    `holds` is false if the daemon holds no shard at present. `full` says
    that lent tokens keep the lender from minting, so that an early
    settlement is worth a message.
    """

    grant_id: str
    workspace: str
    amount: float
    holds: bool = True
    full: bool = False


@dataclass(frozen=True, slots=True)
class SpentPart:
    """Name the source of a part of a token: a grant, or an own shard."""

    grant_id: str
    shard: int
    amount: float


@dataclass(frozen=True, slots=True)
class Spent:
    """Prove that a request was counted, and let its token be given back."""

    workspace: str
    at: float
    parts: tuple[SpentPart, ...] = ()


@dataclass(slots=True)
class HeldGrant:
    """Track a grant at the edge that may spend it.

    `reported` is the remainder that the lender was last told.
    """

    grant_id: str
    lender: str
    left: float
    reported: float
    expires_at: float


@dataclass(slots=True)
class Holdings:
    """Keep the grants of one workspace at an edge, oldest first.

    Grants that are spent stay in `spent_by_id` until their lender was told.
    """

    grants_by_id: dict[str, HeldGrant] = field(default_factory=dict)
    spent_by_id: dict[str, HeldGrant] = field(default_factory=dict)

    @property
    def any(self) -> bool:
        """Tell whether a grant is held or not yet settled."""
        return bool(self.grants_by_id or self.spent_by_id)

    def total(self, now: float) -> float:
        """Return the tokens that may be spent at `now`."""
        self._expire(now)
        return sum(grant.left for grant in self.grants_by_id.values())

    def credit(self, grant: HeldGrant) -> None:
        """Add a grant that the caller knows to be new."""
        self.grants_by_id[grant.grant_id] = grant

    def take_one(self, now: float) -> SpentPart | None:
        """Spend a whole token of the oldest grant if it has one."""
        for grant in self.grants_by_id.values():
            if grant.left < 1 or grant.expires_at <= now:
                return None
            grant.left -= 1
            if grant.left <= 0:
                self._move_spent(grant)
            return SpentPart(grant.grant_id, 0, 1)
        return None

    def take(self, amount: float, now: float) -> Iterator[SpentPart]:
        """Spend up to `amount` tokens, those that expire first before."""
        self._expire(now)
        for grant in tuple(self.grants_by_id.values()):
            taken = min(amount, grant.left)
            grant.left -= taken
            amount -= taken
            yield SpentPart(grant.grant_id, 0, taken)
            if grant.left <= 0:
                self._move_spent(grant)
            if amount <= 0:
                return

    def give_back(self, part: SpentPart, now: float) -> None:
        """Restore a part if its lender still counts it as unspent."""
        grant = self.grants_by_id.get(part.grant_id)
        if grant is None:
            grant = self.spent_by_id.pop(part.grant_id, None)
        if grant is not None and now < grant.expires_at:
            grant.left = min(grant.left + part.amount, grant.reported)
            self.grants_by_id[grant.grant_id] = grant

    def settle(
        self, lender: str, surplus: float, now: float
    ) -> tuple[Settlement, ...]:
        """Report on a lender's grants; give up `surplus` tokens if there.

        A grant that is spent or given up is forgotten at once.
        """
        self._expire(now)
        settlements: list[Settlement] = []
        for grant in self._all():
            if grant.lender == lender:
                returned = min(grant.left, max(0, surplus))
                surplus -= returned
                settlements.extend(_settle_grant(grant, returned))
        self._forget(
            grant
            for grant in self._all()
            if grant.lender == lender and grant.left <= 0
        )
        return tuple(settlements)

    def lenders(self) -> frozenset[str]:
        """Return the hosts whose grants are held or not yet settled."""
        return frozenset(grant.lender for grant in self._all())

    def _all(self) -> tuple[HeldGrant, ...]:
        return (*self.spent_by_id.values(), *self.grants_by_id.values())

    def _move_spent(self, grant: HeldGrant) -> None:
        self.grants_by_id.pop(grant.grant_id)
        self.spent_by_id[grant.grant_id] = grant

    def _expire(self, now: float) -> None:
        self._forget(grant for grant in self._all() if grant.expires_at <= now)

    def _forget(self, grants: Iterable[HeldGrant]) -> None:
        for grant in grants:
            self.grants_by_id.pop(grant.grant_id, None)
            self.spent_by_id.pop(grant.grant_id, None)


def _settle_grant(grant: HeldGrant, returned: float) -> Iterator[Settlement]:
    grant.left -= returned
    if grant.left < grant.reported:
        grant.reported = grant.left
        yield Settlement(grant.grant_id, grant.left, returned)
