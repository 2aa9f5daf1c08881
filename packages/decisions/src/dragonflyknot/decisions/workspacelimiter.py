"""The rate limiter of one workspace on one daemon.

It combines the token buckets of the shards that the daemon holds, the grants
received from other daemons, the requests that wait for a token and the recent
request rate. The state machine in `quota` drives it.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import floor

from dragonflyknot.decisions.buckets import Bucket
from dragonflyknot.decisions.document import Workspace
from dragonflyknot.decisions.grants import (
    EDGE_GRANT_VALIDITY_S,
    GrantAnswer,
    GrantPool,
    HeldGrant,
    SpentPart,
    SpentToken,
)

_DEMAND_WINDOW_S = 0.5
_NEGLIGIBLE_DEMAND_PER_S = 0.01
_GRANT_REQUEST_TIMEOUT_S = 0.2
_SLOW_GRANT_REQUEST_S = 0.03
_GRANT_REQUEST_INTERVAL_S = 0.01
_MAX_PENDING_PER_HOLDER = 2
_MIN_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.25
_BACKOFF_WITH_WAITERS_S = 0.08
_NON_HOLDER_BACKOFF_S = 0.5
# Above this ratio of refusals to demand, all holders are taken to be empty.
_OVERLOAD_REFUSED_RATIO = 0.2
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class Waiter:
    """Represent a request that waits for a token until `deadline`."""

    request_id: str
    deadline: float


@dataclass(slots=True)
class PendingRequest:
    """Track a grant request that has not been answered.

    A `lost` request is no longer counted on, but a late answer is credited.
    """

    host: str
    asked_at: float
    amount: float
    lost: bool = False


class WorkspaceLimiter:
    """Spend, grant and request the tokens of one workspace."""

    __slots__ = (
        '_arrival_count',
        '_backoff_started_at_by_host',
        '_backoff_until_by_host',
        '_early_settlement_hosts',
        '_measured_at',
        '_pending_by_id',
        '_refusal_count',
        '_refusals_per_s',
        'buckets_by_shard',
        'demand',
        'grants',
        'last_sent_at_by_host',
        'limits',
        'waiters',
    )

    def __init__(self, limits: Workspace, now: float) -> None:
        self.limits = limits
        self.buckets_by_shard: dict[int, Bucket] = {}
        self.grants = GrantPool()
        self.waiters: deque[Waiter] = deque()
        self.demand = float(0)
        self.last_sent_at_by_host: dict[str, float] = {}
        self._arrival_count = 0
        self._refusal_count = 0
        self._refusals_per_s = float(0)
        self._measured_at = now
        self._pending_by_id: dict[str, PendingRequest] = {}
        self._backoff_started_at_by_host: dict[str, float] = {}
        self._backoff_until_by_host: dict[str, float] = {}
        self._early_settlement_hosts: set[str] = set()

    @property
    def is_idle(self) -> bool:
        """Return whether no work is left for a tick."""
        no_traffic = not (self._arrival_count or self.demand or self.waiters)
        return no_traffic and not (
            self._pending_by_id or self.grants.has_unsettled
        )

    def count_request(self) -> None:
        """Count a request towards the demand."""
        self._arrival_count += 1

    def count_refusal(self) -> float:
        """Count a refusal; return after how many seconds to retry."""
        self._refusal_count += 1
        return self._retry_after_s()

    def measure_demand(self, now: float) -> None:
        """Update the moving average of the demand, in requests per second."""
        elapsed = now - self._measured_at
        if elapsed <= 0:
            return
        weight = min(1, elapsed / _DEMAND_WINDOW_S)
        self.demand += weight * (self._arrival_count / elapsed - self.demand)
        self._refusals_per_s += weight * (
            self._refusal_count / elapsed - self._refusals_per_s
        )
        self._arrival_count = 0
        self._refusal_count = 0
        self._measured_at = now
        if self.demand < _NEGLIGIBLE_DEMAND_PER_S:
            self.demand = 0

    def take(self, now: float, usable: bool) -> SpentToken | None:
        """Spend one token and return it, or None if none is available.

        The buckets of the held shards count only if they are `usable`.
        """
        part = self.grants.take_one(now)
        if part is not None:
            return self._make_spent_token(now, part)
        if usable:
            for shard, bucket in self.buckets_by_shard.items():
                bucket.refill(now)
                if bucket.level >= 1:
                    bucket.level -= 1
                    return self._make_spent_token(now, SpentPart('', shard, 1))
        return self._combine(now, usable)

    def give_back(self, spent: SpentToken, now: float) -> None:
        """Return a token to its sources as far as the rate limit allows."""
        for part in spent.parts:
            if part.grant_id:
                self.grants.give_back(part, now)
                continue
            bucket = self.buckets_by_shard.get(part.shard)
            if bucket is not None:
                bucket.give_back(part.amount, spent.at, now)

    def available_tokens(self, now: float, usable: bool) -> float:
        """Return the number of tokens available at `now`."""
        available_tokens = self.grants.total(now)
        if usable:
            for bucket in self.buckets_by_shard.values():
                bucket.refill(now)
                available_tokens += bucket.level
        return available_tokens

    def refill_rate(self, usable: bool) -> float:
        """Return the tokens per second that the held shards issue."""
        if not usable:
            return 0
        return sum(bucket.rate for bucket in self.buckets_by_shard.values())

    def grant(self, grant_id: str, amount: float, now: float) -> float:
        """Grant tokens of the fullest shard, so that a grant has one source.

        Return the amount granted, 0 if there is none.
        """
        buckets = self.buckets_by_shard.values()
        if not buckets or amount <= 0:
            return 0
        for bucket in buckets:
            bucket.refill(now)
        fullest = max(buckets, key=lambda shard_bucket: shard_bucket.level)
        # A fraction of a token would be idle at the receiver, so only whole
        # tokens are granted unless the bucket can never hold one.
        if fullest.burst >= 1:
            amount = min(amount, floor(fullest.level))
        return fullest.grant(grant_id, amount, now)

    def refill_blocked_within(self, horizon_s: float) -> bool:
        """Return whether a refill may stop within `horizon_s`.

        Granted tokens that are still outstanding stop it.
        """
        return any(
            bucket.refill_blocked_within(horizon_s)
            for bucket in self.buckets_by_shard.values()
        )

    def add_pending(self, grant_id: str, request: PendingRequest) -> None:
        """Record a grant request that is being sent."""
        self._pending_by_id[grant_id] = request

    def mark_lost(self, grant_id: str) -> None:
        """Mark a request as lost; a late answer is still credited once."""
        request = self._pending_by_id.get(grant_id)
        if request is not None:
            request.lost = True

    def credit(self, answer: GrantAnswer, now: float) -> None:
        """Add the tokens of a grant while it is valid.

        Idempotent: a duplicate answer adds nothing.
        """
        request = self._pending_by_id.pop(answer.grant_id, None)
        if request is None:
            return
        if answer.full:
            self._early_settlement_hosts.add(request.host)
        else:
            self._early_settlement_hosts.discard(request.host)
        expires_at = request.asked_at + EDGE_GRANT_VALIDITY_S
        if answer.amount < request.amount:
            self._back_off(request.host, answer, now)
        if answer.amount > 0 and now < expires_at:
            self.grants.credit(
                HeldGrant(
                    grant_id=answer.grant_id,
                    granting_host=request.host,
                    remaining=answer.amount,
                    reported=answer.amount,
                    expires_at=expires_at,
                )
            )

    def expected_tokens(self, now: float) -> float:
        """Return the tokens that pending grant requests may still yield.

        While callers wait, a slow grant request is not counted, so that
        another holder is asked before their wait is over.
        """
        self._expire_pending(now)
        max_age_s = (
            _SLOW_GRANT_REQUEST_S if self.waiters else _GRANT_REQUEST_TIMEOUT_S
        )
        oldest = now - max_age_s
        return sum(
            request.amount
            for request in self._pending_by_id.values()
            if not request.lost and request.asked_at > oldest
        )

    def wants_early_settlement(self, host: str) -> bool:
        """Return whether a host asked for early settlement of its grants."""
        return host in self._early_settlement_hosts

    def may_request_from(self, host: str, now: float) -> bool:
        """Return whether a grant may be requested from a holder at `now`."""
        if self._is_backing_off(host, now):
            return False
        pending = [
            request
            for request in self._pending_by_id.values()
            if request.host == host and not request.lost
        ]
        if not pending:
            return True
        # The first grant request of a burst covers only one caller, so a
        # second one may follow for those that arrived since.
        latest = max(request.asked_at for request in pending)
        is_due = now >= latest + _GRANT_REQUEST_INTERVAL_S
        return (
            bool(self.waiters)
            and len(pending) < _MAX_PENDING_PER_HOLDER
            and is_due
        )

    def _retry_after_s(self) -> float:
        if self.limits.rate <= 0:
            return _MAX_RETRY_AFTER_S
        wait = (1 + len(self.waiters)) / self.limits.rate
        return min(max(wait, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)

    def _make_spent_token(self, now: float, *parts: SpentPart) -> SpentToken:
        return SpentToken(self.limits.name, now, parts)

    def _combine(self, now: float, usable: bool) -> SpentToken | None:
        if self.available_tokens(now, usable) < 1:
            return None
        parts = list(self.grants.take(1, now))
        missing = 1 - sum(part.amount for part in parts)
        if missing > 0:
            parts.extend(self._take_from_shards(missing))
        return self._make_spent_token(now, *parts)

    def _take_from_shards(self, amount: float) -> Iterator[SpentPart]:
        for shard, bucket in self.buckets_by_shard.items():
            taken = bucket.take(amount)
            if taken > 0:
                amount -= taken
                yield SpentPart('', shard, taken)

    def _is_backing_off(self, host: str, now: float) -> bool:
        if self._backoff_until_by_host.get(host, 0) <= now:
            return False
        # With many refusals the holders are out of tokens, and further
        # requests are useless.
        overloaded = (
            self._refusals_per_s > self.demand * _OVERLOAD_REFUSED_RATIO
        )
        if overloaded or not self.waiters:
            return True
        started_at = self._backoff_started_at_by_host.get(host, now)
        return now < started_at + _BACKOFF_WITH_WAITERS_S

    def _back_off(self, host: str, answer: GrantAnswer, now: float) -> None:
        backoff_s = _NON_HOLDER_BACKOFF_S
        if answer.holds and self.limits.rate > 0:
            backoff_s = self.limits.burst / self.limits.rate / 2
            backoff_s = min(max(backoff_s, _MIN_BACKOFF_S), _MAX_BACKOFF_S)
            self._backoff_started_at_by_host[host] = now
        self._backoff_until_by_host[host] = now + backoff_s

    def _expire_pending(self, now: float) -> None:
        for grant_id, request in tuple(self._pending_by_id.items()):
            if now >= request.asked_at + EDGE_GRANT_VALIDITY_S:
                self._pending_by_id.pop(grant_id)
            elif now >= request.asked_at + _GRANT_REQUEST_TIMEOUT_S:
                request.lost = True
