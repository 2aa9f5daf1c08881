"""Messages and state for the grants of tokens between daemons.

An edge sends a `GrantRequest` to a holder of shards; the holder debits its
buckets and replies with a `GrantAnswer` of the same id. The edge counts the
validity of a grant from when it sent the request, the holder from when it
answered, so the edge always stops first. Requests also carry settlements: how
many tokens of earlier grants remain, and how many are returned unspent.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

EDGE_GRANT_VALIDITY_S = 1.0
"""How long an edge may spend a grant, on its own clock, from its request."""


@dataclass(frozen=True, slots=True)
class Settlement:
    """Report that `remaining` tokens of a grant may still be spent.

    `returned` tokens are returned unspent and are not part of `remaining`.
    """

    grant_id: str
    remaining: float
    returned: float


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Request up to `amount` tokens; an amount of 0 only settles."""

    grant_id: str
    workspace: str
    amount: float
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantAnswer:
    """Grant `amount` tokens, 0 if none are available.

    `holds` is false if the daemon holds no shard at present. `full` says
    that outstanding grants stop the refill of the holder's buckets, or soon
    will, so that an early settlement is worth a message.
    """

    grant_id: str
    workspace: str
    amount: float
    holds: bool = True
    full: bool = False


@dataclass(frozen=True, slots=True)
class SpentPart:
    """Identify the source of a part of a token: a grant or a held shard.

    `grant_id` is empty for a part that came from `shard`.
    """

    grant_id: str
    shard: int
    amount: float


@dataclass(frozen=True, slots=True)
class SpentToken:
    """Record where the token of a counted request came from.

    It is needed to return the token. `at` is the time of spending.
    """

    workspace: str
    at: float
    parts: tuple[SpentPart, ...] = ()


@dataclass(slots=True)
class HeldGrant:
    """Track a grant on the edge that may spend it.

    `reported` is the remaining amount last reported to the granting host.
    """

    grant_id: str
    granting_host: str
    remaining: float
    reported: float
    expires_at: float


@dataclass(slots=True)
class GrantPool:
    """Hold the grants of one workspace on an edge, oldest first.

    Fully spent grants stay in `spent_by_id` until they are settled.
    """

    grants_by_id: dict[str, HeldGrant] = field(default_factory=dict)
    spent_by_id: dict[str, HeldGrant] = field(default_factory=dict)

    @property
    def has_unsettled(self) -> bool:
        """Return whether any grant is held or not yet settled."""
        return bool(self.grants_by_id or self.spent_by_id)

    def total(self, now: float) -> float:
        """Return the tokens that may be spent at `now`."""
        self._expire(now)
        return sum(grant.remaining for grant in self.grants_by_id.values())

    def credit(self, grant: HeldGrant) -> None:
        """Add a grant; the caller ensures that it is new."""
        self.grants_by_id[grant.grant_id] = grant

    def take_one(self, now: float) -> SpentPart | None:
        """Spend a whole token of the oldest grant, if it has one."""
        for grant in self.grants_by_id.values():
            if grant.remaining < 1 or grant.expires_at <= now:
                return None
            grant.remaining -= 1
            if grant.remaining <= 0:
                self._mark_spent(grant)
            return SpentPart(grant.grant_id, 0, 1)
        return None

    def take(self, amount: float, now: float) -> Iterator[SpentPart]:
        """Spend up to `amount` tokens, starting with the oldest grant."""
        self._expire(now)
        for grant in tuple(self.grants_by_id.values()):
            taken = min(amount, grant.remaining)
            grant.remaining -= taken
            amount -= taken
            yield SpentPart(grant.grant_id, 0, taken)
            if grant.remaining <= 0:
                self._mark_spent(grant)
            if amount <= 0:
                return

    def give_back(self, part: SpentPart, now: float) -> None:
        """Return a part if the granting host still counts it as unspent."""
        grant = self.grants_by_id.get(part.grant_id)
        if grant is None:
            grant = self.spent_by_id.pop(part.grant_id, None)
        if grant is not None and now < grant.expires_at:
            grant.remaining = min(grant.remaining + part.amount, grant.reported)
            self.grants_by_id[grant.grant_id] = grant

    def settle(
        self, granting_host: str, surplus: float, now: float
    ) -> tuple[Settlement, ...]:
        """Settle the grants of a host and return up to `surplus` tokens.

        Fully spent and fully returned grants are removed at once.
        """
        self._expire(now)
        settlements: list[Settlement] = []
        for grant in self._all_grants():
            if grant.granting_host == granting_host:
                returned = min(grant.remaining, max(0, surplus))
                surplus -= returned
                settlements.extend(_settle_grant(grant, returned))
        self._remove(
            grant
            for grant in self._all_grants()
            if grant.granting_host == granting_host and grant.remaining <= 0
        )
        return tuple(settlements)

    def granting_hosts(self) -> frozenset[str]:
        """Return the hosts whose grants are held or not yet settled."""
        return frozenset(grant.granting_host for grant in self._all_grants())

    def _all_grants(self) -> tuple[HeldGrant, ...]:
        return (*self.spent_by_id.values(), *self.grants_by_id.values())

    def _mark_spent(self, grant: HeldGrant) -> None:
        self.grants_by_id.pop(grant.grant_id)
        self.spent_by_id[grant.grant_id] = grant

    def _expire(self, now: float) -> None:
        self._remove(
            grant for grant in self._all_grants() if grant.expires_at <= now
        )

    def _remove(self, grants: Iterable[HeldGrant]) -> None:
        for grant in grants:
            self.grants_by_id.pop(grant.grant_id, None)
            self.spent_by_id.pop(grant.grant_id, None)


def _settle_grant(grant: HeldGrant, returned: float) -> Iterator[Settlement]:
    grant.remaining -= returned
    if grant.remaining < grant.reported:
        grant.reported = grant.remaining
        yield Settlement(grant.grant_id, grant.remaining, returned)
