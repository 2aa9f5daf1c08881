"""Keep every workspace within its rate and burst over the whole fleet.

Each daemon runs one `Quota`. As a holder it issues the tokens of the shards
that it leases and grants them to others; as an edge it spends its own tokens,
requests more from holders, and lets a request wait some milliseconds before it
is refused. The share of a workspace that a shard issues is decided in
`layouts`, so that daemons on different revisions together never issue more
than the larger of the two limits.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil, floor

from dragonflyknot.decisions.buckets import Bucket
from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, SpentToken
from dragonflyknot.decisions.holders import HolderSelector, holder_share
from dragonflyknot.decisions.layouts import Layout, ShardShares, compute_layout
from dragonflyknot.decisions.ratemessages import (
    Admit,
    AnswerGrant,
    AskGrant,
    ConfigurationInstalled,
    GiveBack,
    GrantAnswered,
    GrantRequested,
    GrantRequestLost,
    HoldersChanged,
    LayoutConfirmed,
    LeaseExtended,
    RateCommand,
    RateEvent,
    RefuseRate,
    ShardGained,
    ShardLost,
    Spend,
    SpendCancelled,
    Ticked,
)
from dragonflyknot.decisions.workspacelimiter import (
    PendingRequest,
    Waiter,
    WorkspaceLimiter,
)

WAITING_TICK_INTERVAL_S = 0.01
BUSY_TICK_INTERVAL_S = 0.05
IDLE_TICK_INTERVAL_S = 0.5

_UNKNOWN_WORKSPACE_RETRY_S = 1.0
_MIN_REQUESTED_TOKENS = 4.0


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Set the number of shards of the fleet and the timing of grants.

    Every daemon of a fleet must have the same `shards` and
    `min_tokens_per_shard`. A request waits at most `max_wait_s`; an edge
    prefetches tokens for `horizon_s` of its demand and settles its grants
    every `settlement_interval_s`. Durations are in seconds.
    """

    shards: int = 16
    min_tokens_per_shard: int = 10
    max_wait_s: float = 0.06
    horizon_s: float = 0.3
    settlement_interval_s: float = 0.2


class Quota:
    """Decide which requests are within their workspace's rate."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        data_center: str,
        region: str,
        settings: QuotaSettings,
    ) -> None:
        self._settings = settings
        self._grant_id_prefix = f'{host}/{incarnation}/'
        self._last_grant_number = 0
        self._configuration: Configuration | None = None
        self._added_at_by_workspace: dict[str, float] = {}
        self._shares = ShardShares()
        self._usable_until = float(0)
        self._holders = HolderSelector(host, data_center, region)
        self._limiters_by_workspace: dict[str, WorkspaceLimiter] = {}

    @property
    def limiters_by_workspace(self) -> Mapping[str, WorkspaceLimiter]:
        """Return the limiters of the workspaces that have had requests."""
        return self._limiters_by_workspace

    @property
    def layout(self) -> Layout | None:
        """Return the layout of the configuration that this daemon follows."""
        return self._shares.layout

    def spend(self, workspace: str, now: float) -> SpentToken | None:
        """Spend a token if one is available now; queue nothing otherwise."""
        limiter = self._get_or_create_limiter(workspace, now)
        if limiter is None or limiter.waiters:
            return None
        spent = limiter.take(now, now < self._usable_until)
        if spent is not None:
            limiter.count_request()
        return spent

    def handle(self, event: RateEvent, now: float) -> tuple[RateCommand, ...]:
        """Handle an event and return the commands to carry out."""
        match event:
            case Spend():
                return tuple(self._spend(event, now))
            case SpendCancelled(request_id, workspace):
                self._cancel(request_id, workspace)
            case GiveBack(spent):
                self._give_back(spent, now)
            case GrantRequested(request):
                return (AnswerGrant(self._grant_tokens(request, now)),)
            case GrantAnswered(answer):
                return self._update_limiter(
                    answer.workspace,
                    now,
                    lambda limiter: limiter.credit(answer, now),
                )
            case GrantRequestLost(grant_id, workspace):
                return self._update_limiter(
                    workspace,
                    now,
                    lambda limiter: limiter.mark_lost(grant_id),
                )
            case Ticked():
                return tuple(self._tick(now))
            case ConfigurationInstalled(configuration):
                return tuple(self._install(configuration, now))
            case ShardGained(shard):
                self._shares.gain(shard, now)
                self._update_all_buckets(now)
            case ShardLost(shard):
                self._shares.lose(shard)
                self._update_all_buckets(now)
            case LayoutConfirmed(digest):
                self._shares.confirm(digest, now)
            case LeaseExtended(until):
                self._usable_until = until
            case HoldersChanged(holders):
                self._holders.update_holders(holders)
        return ()

    def next_tick_s(self) -> float:
        """Return the number of seconds after which `Ticked` is due."""
        limiters = self._limiters_by_workspace.values()
        if any(limiter.waiters for limiter in limiters):
            return WAITING_TICK_INTERVAL_S
        if all(limiter.is_idle for limiter in limiters):
            return IDLE_TICK_INTERVAL_S
        return BUSY_TICK_INTERVAL_S

    def _spend(self, event: Spend, now: float) -> Iterator[RateCommand]:
        limiter = self._get_or_create_limiter(event.workspace, now)
        if limiter is None:
            yield RefuseRate(event.request_id, _UNKNOWN_WORKSPACE_RETRY_S)
            return
        limiter.count_request()
        usable = now < self._usable_until
        if not limiter.waiters:
            spent = limiter.take(now, usable)
            if spent is not None:
                yield Admit(event.request_id, spent)
                return
        max_waiters = 1 + limiter.limits.rate * self._settings.max_wait_s
        if len(limiter.waiters) >= max_waiters:
            yield RefuseRate(event.request_id, limiter.count_refusal())
            return
        deadline = min(event.deadline, now + self._settings.max_wait_s)
        limiter.waiters.append(Waiter(event.request_id, deadline))
        yield from self._request_tokens(limiter, now)

    def _cancel(self, request_id: str, workspace: str) -> None:
        limiter = self._limiters_by_workspace.get(workspace)
        if limiter is None:
            return
        for waiter in tuple(limiter.waiters):
            if waiter.request_id == request_id:
                limiter.waiters.remove(waiter)

    def _give_back(self, spent: SpentToken, now: float) -> None:
        limiter = self._limiters_by_workspace.get(spent.workspace)
        if limiter is not None:
            limiter.give_back(spent, now)

    def _grant_tokens(self, request: GrantRequest, now: float) -> GrantAnswer:
        limiter = self._get_or_create_limiter(request.workspace, now)
        amount = float(0)
        full = False
        usable = now < self._usable_until and bool(self._shares.shards)
        if limiter is not None and usable:
            for settlement in request.settlements:
                for bucket in limiter.buckets_by_shard.values():
                    bucket.settle(
                        settlement.grant_id,
                        settlement.remaining,
                        settlement.returned,
                        now,
                    )
            amount = limiter.grant(request.grant_id, request.amount, now)
            full = limiter.refill_blocked_within(
                self._settings.settlement_interval_s
            )
        return GrantAnswer(
            request.grant_id, request.workspace, amount, usable, full
        )

    def _update_limiter(
        self,
        workspace: str,
        now: float,
        update: Callable[[WorkspaceLimiter], None],
    ) -> tuple[RateCommand, ...]:
        limiter = self._limiters_by_workspace.get(workspace)
        if limiter is None:
            return ()
        update(limiter)
        return (
            *self._serve_waiters(limiter, now),
            *self._request_tokens(limiter, now),
        )

    def _tick(self, now: float) -> Iterator[RateCommand]:
        if self._shares.apply_due_layout(now):
            self._update_all_buckets(now)
        for limiter in tuple(self._limiters_by_workspace.values()):
            if not limiter.is_idle:
                limiter.measure_demand(now)
                yield from self._serve_waiters(limiter, now)
                yield from self._request_tokens(limiter, now)
                yield from self._settle_grants(limiter, now)

    def _serve_waiters(
        self, limiter: WorkspaceLimiter, now: float
    ) -> Iterator[RateCommand]:
        waiters = limiter.waiters
        while waiters:
            if waiters[0].deadline < now:
                expired = waiters.popleft()
                yield RefuseRate(expired.request_id, limiter.count_refusal())
                continue
            spent = limiter.take(now, now < self._usable_until)
            if spent is None:
                return
            yield Admit(waiters.popleft().request_id, spent)

    def _request_tokens(
        self, limiter: WorkspaceLimiter, now: float
    ) -> Iterator[RateCommand]:
        missing = self._missing_tokens(limiter, now)
        if missing <= 0:
            return
        layout = self._shares.layout
        if layout is None:
            return
        for tier in self._holders.tiers(limiter, layout, now):
            for count, holder in enumerate(tier):
                if missing <= 0:
                    return
                even_share = ceil(missing / (len(tier) - count))
                amount = min(
                    max(even_share, _MIN_REQUESTED_TOKENS),
                    ceil(missing),
                    ceil(
                        limiter.limits.burst
                        * holder_share(limiter, holder, layout)
                    ),
                )
                missing -= amount
                yield self._request_grant(limiter, holder.host, amount, now)

    def _missing_tokens(self, limiter: WorkspaceLimiter, now: float) -> float:
        usable = now < self._usable_until
        horizon_s = self._settings.horizon_s
        # Nothing is prefetched for rare requests: their tokens would be idle.
        prefetch = floor(min(limiter.demand, limiter.limits.rate) * horizon_s)
        refilled = limiter.refill_rate(usable) * horizon_s
        available_tokens = limiter.available_tokens(
            now, usable
        ) + limiter.expected_tokens(now)
        shortfall = len(limiter.waiters) - available_tokens
        wanted = shortfall + prefetch - refilled
        # To save messages, more tokens are prefetched only once at most half
        # of the prefetched amount is left.
        if wanted < prefetch / 2:
            return shortfall
        return max(shortfall, wanted)

    def _request_grant(
        self, limiter: WorkspaceLimiter, host: str, amount: float, now: float
    ) -> AskGrant:
        self._last_grant_number += 1
        grant_id = f'{self._grant_id_prefix}{self._last_grant_number}'
        limiter.last_sent_at_by_host[host] = now
        settlements = limiter.grants.settle(host, 0, now)
        if amount > 0:
            limiter.add_pending(grant_id, PendingRequest(host, now, amount))
        return AskGrant(
            host,
            GrantRequest(grant_id, limiter.limits.name, amount, settlements),
        )

    def _settle_grants(
        self, limiter: WorkspaceLimiter, now: float
    ) -> Iterator[RateCommand]:
        settings = self._settings
        for host in sorted(limiter.grants.granting_hosts()):
            last_sent_at = limiter.last_sent_at_by_host.get(host, 0)
            early = limiter.wants_early_settlement(host)
            if (
                not early
                and now - last_sent_at < settings.settlement_interval_s
            ):
                continue
            reserve = floor(limiter.demand * settings.horizon_s * 2)
            surplus = limiter.grants.total(now) - reserve
            settlements = limiter.grants.settle(host, surplus, now)
            if settlements:
                limiter.last_sent_at_by_host[host] = now
                self._last_grant_number += 1
                yield AskGrant(
                    host,
                    GrantRequest(
                        f'{self._grant_id_prefix}{self._last_grant_number}',
                        limiter.limits.name,
                        0,
                        settlements,
                    ),
                )

    def _install(
        self, configuration: Configuration, now: float
    ) -> Iterator[RateCommand]:
        if self._configuration is not None:
            self._record_added(self._configuration, configuration, now)
        self._configuration = configuration
        settings = self._settings
        self._shares.install(
            compute_layout(
                configuration, settings.shards, settings.min_tokens_per_shard
            )
        )
        for workspace, limiter in tuple(self._limiters_by_workspace.items()):
            limits = configuration.limits(workspace)
            if limits is None:
                self._limiters_by_workspace.pop(workspace)
                for waiter in limiter.waiters:
                    yield RefuseRate(
                        waiter.request_id, _UNKNOWN_WORKSPACE_RETRY_S
                    )
                continue
            limiter.limits = limits
        self._update_all_buckets(now)

    def _record_added(
        self, old: Configuration, new: Configuration, now: float
    ) -> None:
        for workspace in new.workspaces_by_name:
            if workspace not in old.workspaces_by_name:
                self._added_at_by_workspace[workspace] = now

    def _update_all_buckets(self, now: float) -> None:
        for workspace, limiter in self._limiters_by_workspace.items():
            self._update_buckets(limiter, workspace, now)

    def _update_buckets(
        self, limiter: WorkspaceLimiter, workspace: str, now: float
    ) -> None:
        """Update the buckets of a limiter to the shards now held."""
        for lost in limiter.buckets_by_shard.keys() - self._shares.shards:
            limiter.buckets_by_shard.pop(lost)
        limits = limiter.limits
        for shard in sorted(self._shares.shards):
            fraction = self._shares.share(workspace, shard)
            bucket = limiter.buckets_by_shard.get(shard)
            if bucket is not None:
                bucket.set_limits(
                    limits.rate * fraction, limits.burst * fraction, now
                )
            elif fraction > 0:
                starts_at = max(
                    self._shares.starts_at(shard),
                    self._added_at_by_workspace.get(workspace, 0),
                )
                limiter.buckets_by_shard[shard] = Bucket(
                    limits.rate * fraction, limits.burst * fraction, starts_at
                )

    def _get_or_create_limiter(
        self, workspace: str, now: float
    ) -> WorkspaceLimiter | None:
        limiter = self._limiters_by_workspace.get(workspace)
        if limiter is not None or self._configuration is None:
            return limiter
        limits = self._configuration.limits(workspace)
        if limits is None:
            return None
        limiter = WorkspaceLimiter(limits, now)
        self._limiters_by_workspace[workspace] = limiter
        self._update_buckets(limiter, workspace, now)
        return limiter
