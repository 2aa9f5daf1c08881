"""Keep every workspace within its rate and burst over the whole fleet.

Each daemon runs one `Quota`. As a holder it mints the tokens of the shards
that it has on lease and lends them; as an edge it spends its own tokens,
asks holders for more, and lets a request wait some milliseconds before it
refuses. What part of a workspace a shard mints is decided in `layouts`, so
that daemons on different revisions never mint more together than the larger
of the two limits.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil, floor

from dragonflyknot.decisions.accounts import Account, OpenAsk, Waiter
from dragonflyknot.decisions.buckets import Bucket
from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, Spent
from dragonflyknot.decisions.layouts import Layout, Shares, layout_of
from dragonflyknot.decisions.placement import stable_hash
from dragonflyknot.decisions.ratemessages import (
    Admit,
    AnswerGrant,
    AskGrant,
    ConfigurationInstalled,
    GiveBack,
    GrantAnswered,
    GrantAsked,
    GrantLost,
    Holder,
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

WAITING_TICK_S = 0.01
BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.5

_UNKNOWN_RETRY_S = 1.0
_SMALLEST_ASK = 4.0
_NEAR_LOAD = 0.5


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Set the number of shards of the fleet and the pace of asking.

    Every daemon of a fleet must have the same `shards` and
    `tokens_per_shard`. A request waits at most `wait_s`; an edge keeps a
    stock for `horizon_s` of its demand and reports on its grants each
    `settle_s`.
    """

    shards: int = 16
    tokens_per_shard: int = 10
    wait_s: float = 0.06
    horizon_s: float = 0.3
    settle_s: float = 0.2


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
        self._host = host
        self._data_center = data_center
        self._region = region
        self._settings = settings
        self._prefix = f'{host}/{incarnation}/'
        self._serial = 0
        self._configuration: Configuration | None = None
        self._added_at_by_workspace: dict[str, float] = {}
        self._shares = Shares()
        self._usable_until = float(0)
        self._holders: tuple[Holder, ...] = ()
        self._accounts_by_workspace: dict[str, Account] = {}

    @property
    def accounts_by_workspace(self) -> Mapping[str, Account]:
        """Give the accounts of the workspaces that were lately active."""
        return self._accounts_by_workspace

    @property
    def layout(self) -> Layout | None:
        """Return the layout of the configuration in force here."""
        return self._shares.layout

    def spend(self, workspace: str, now: float) -> Spent | None:
        """Spend a token that is at hand; queue nothing otherwise."""
        account = self._account(workspace, now)
        if account is None or account.waiters:
            return None
        spent = account.take(now, now < self._usable_until)
        if spent is not None:
            account.arrive()
        return spent

    def handle(self, event: RateEvent, now: float) -> tuple[RateCommand, ...]:
        """Take in an event and return what is to be done."""
        match event:
            case Spend():
                return tuple(self._spend(event, now))
            case SpendCancelled(request_id, workspace):
                self._cancel(request_id, workspace)
            case GiveBack(spent):
                self._give_back(spent, now)
            case GrantAsked(request):
                return (AnswerGrant(self._lend(request, now)),)
            case GrantAnswered(answer):
                return self._for_account(
                    answer.workspace,
                    now,
                    lambda account: account.credit(answer, now),
                )
            case GrantLost(grant_id, workspace):
                return self._for_account(
                    workspace,
                    now,
                    lambda account: account.lose_ask(grant_id),
                )
            case Ticked():
                return tuple(self._tick(now))
            case ConfigurationInstalled(configuration):
                return tuple(self._install(configuration, now))
            case ShardGained(shard):
                self._shares.gain(shard, now)
                self._reshare(now)
            case ShardLost(shard):
                self._shares.lose(shard)
                self._reshare(now)
            case LayoutConfirmed(digest):
                self._shares.confirm(digest, now)
            case LeaseExtended(until):
                self._usable_until = until
            case HoldersChanged(holders):
                self._holders = self._in_order(holders)
        return ()

    def next_tick_s(self) -> float:
        """Return the time, in seconds, after which `Ticked` is due."""
        accounts = self._accounts_by_workspace.values()
        if any(account.waiters for account in accounts):
            return WAITING_TICK_S
        if all(account.idle for account in accounts):
            return IDLE_TICK_S
        return BUSY_TICK_S

    def _spend(self, event: Spend, now: float) -> Iterator[RateCommand]:
        account = self._account(event.workspace, now)
        if account is None:
            yield RefuseRate(event.request_id, _UNKNOWN_RETRY_S)
            return
        account.arrive()
        usable = now < self._usable_until
        if not account.waiters:
            spent = account.take(now, usable)
            if spent is not None:
                yield Admit(event.request_id, spent)
                return
        room = 1 + account.limits.rate * self._settings.wait_s
        if len(account.waiters) >= room:
            yield RefuseRate(event.request_id, account.retry_after_s())
            return
        deadline = min(event.deadline, now + self._settings.wait_s)
        account.waiters.append(Waiter(event.request_id, deadline))
        yield from self._ask(account, now)

    def _cancel(self, request_id: str, workspace: str) -> None:
        account = self._accounts_by_workspace.get(workspace)
        if account is None:
            return
        for waiter in tuple(account.waiters):
            if waiter.request_id == request_id:
                account.waiters.remove(waiter)

    def _give_back(self, spent: Spent, now: float) -> None:
        account = self._accounts_by_workspace.get(spent.workspace)
        if account is not None:
            account.give_back(spent, now)

    def _lend(self, request: GrantRequest, now: float) -> GrantAnswer:
        account = self._account(request.workspace, now)
        amount = float(0)
        full = False
        usable = now < self._usable_until and bool(self._shares.shards)
        if account is not None and usable:
            for settlement in request.settlements:
                for bucket in account.buckets_by_shard.values():
                    bucket.settle(
                        settlement.grant_id,
                        settlement.remaining,
                        settlement.returned,
                        now,
                    )
            amount = account.lend(request.grant_id, request.amount, now)
            full = account.blocked_within(self._settings.settle_s)
        return GrantAnswer(
            request.grant_id, request.workspace, amount, usable, full
        )

    def _for_account(
        self, workspace: str, now: float, update: Callable[[Account], None]
    ) -> tuple[RateCommand, ...]:
        account = self._accounts_by_workspace.get(workspace)
        if account is None:
            return ()
        update(account)
        return (*self._serve(account, now), *self._ask(account, now))

    def _tick(self, now: float) -> Iterator[RateCommand]:
        if self._shares.advance(now):
            self._reshare(now)
        for account in tuple(self._accounts_by_workspace.values()):
            if not account.idle:
                account.measure_demand(now)
                yield from self._serve(account, now)
                yield from self._ask(account, now)
                yield from self._settle(account, now)

    def _serve(self, account: Account, now: float) -> Iterator[RateCommand]:
        waiters = account.waiters
        while waiters:
            if waiters[0].deadline < now:
                late = waiters.popleft()
                yield RefuseRate(late.request_id, account.retry_after_s())
                continue
            spent = account.take(now, now < self._usable_until)
            if spent is None:
                return
            yield Admit(waiters.popleft().request_id, spent)

    def _ask(self, account: Account, now: float) -> Iterator[RateCommand]:
        missing = self._missing(account, now)
        if missing <= 0:
            return
        for holders in self._rings(account):
            askable = self._askable(account, holders, now)
            for count, holder in enumerate(askable):
                if missing <= 0:
                    return
                even = ceil(missing / (len(askable) - count))
                amount = min(
                    max(even, _SMALLEST_ASK),
                    ceil(missing),
                    ceil(account.limits.burst * self._part(account, holder)),
                )
                missing -= amount
                yield self._ask_holder(account, holder.host, amount, now)

    def _askable(
        self, account: Account, holders: tuple[Holder, ...], now: float
    ) -> list[Holder]:
        askable = [
            one
            for one in holders
            if self._part(account, one) > 0 and account.askable(one.host, now)
        ]
        told_at = account.told_at_by_host
        # Holders that were not asked for longest are the fullest.
        askable.sort(key=lambda holder: told_at.get(holder.host, 0))
        return askable

    def _rings(self, account: Account) -> tuple[tuple[Holder, ...], ...]:
        """Return the groups of holders to ask, one after the other."""
        near = tuple(
            holder for holder in self._holders if holder.region == self._region
        )
        far = self._holders[len(near) :]
        part = sum(self._part(account, holder) for holder in near)
        if account.demand > account.limits.rate * part * _NEAR_LOAD:
            return (self._holders,)
        return (near, far)

    def _part(self, account: Account, holder: Holder) -> float:
        """Return the part of a workspace that a holder mints."""
        layout = self._shares.layout
        if layout is None:
            return 0
        name = account.limits.name
        return sum(layout.share(name, shard) for shard in holder.shards)

    def _missing(self, account: Account, now: float) -> float:
        usable = now < self._usable_until
        horizon_s = self._settings.horizon_s
        # A rare request waits for its own token, so that none lies idle.
        ahead = floor(min(account.demand, account.limits.rate) * horizon_s)
        minted = account.minting_rate(usable) * horizon_s
        stock = account.stock(now, usable) + account.expected(now)
        urgent = len(account.waiters) - stock
        wanted = urgent + ahead - minted
        # Half the stock is left before more is asked for, to save messages.
        if wanted < ahead / 2:
            return urgent
        return max(urgent, wanted)

    def _ask_holder(
        self, account: Account, host: str, amount: float, now: float
    ) -> AskGrant:
        self._serial += 1
        grant_id = f'{self._prefix}{self._serial}'
        account.told_at_by_host[host] = now
        settlements = account.holdings.settle(host, 0, now)
        if amount > 0:
            account.open_ask(grant_id, OpenAsk(host, now, amount))
        return AskGrant(
            host,
            GrantRequest(grant_id, account.limits.name, amount, settlements),
        )

    def _settle(self, account: Account, now: float) -> Iterator[RateCommand]:
        settings = self._settings
        for host in sorted(account.holdings.lenders()):
            told_at = account.told_at_by_host.get(host, 0)
            eager = account.settles_eagerly(host)
            if not eager and now - told_at < settings.settle_s:
                continue
            ahead = floor(account.demand * settings.horizon_s * 2)
            surplus = account.holdings.total(now) - ahead
            settlements = account.holdings.settle(host, surplus, now)
            if settlements:
                account.told_at_by_host[host] = now
                self._serial += 1
                yield AskGrant(
                    host,
                    GrantRequest(
                        f'{self._prefix}{self._serial}',
                        account.limits.name,
                        0,
                        settlements,
                    ),
                )

    def _install(
        self, configuration: Configuration, now: float
    ) -> Iterator[RateCommand]:
        if self._configuration is not None:
            self._note_added(self._configuration, configuration, now)
        self._configuration = configuration
        settings = self._settings
        self._shares.install(
            layout_of(configuration, settings.shards, settings.tokens_per_shard)
        )
        for workspace, account in tuple(self._accounts_by_workspace.items()):
            limits = configuration.limits(workspace)
            if limits is None:
                self._accounts_by_workspace.pop(workspace)
                for waiter in account.waiters:
                    yield RefuseRate(waiter.request_id, _UNKNOWN_RETRY_S)
                continue
            account.limits = limits
        self._reshare(now)

    def _note_added(
        self, old: Configuration, new: Configuration, now: float
    ) -> None:
        for workspace in new.workspaces_by_name:
            if workspace not in old.workspaces_by_name:
                self._added_at_by_workspace[workspace] = now

    def _reshare(self, now: float) -> None:
        for workspace, account in self._accounts_by_workspace.items():
            self._share_out(account, workspace, now)

    def _share_out(self, account: Account, workspace: str, now: float) -> None:
        """Give an account the buckets of the held shards."""
        for lost in account.buckets_by_shard.keys() - self._shares.shards:
            account.buckets_by_shard.pop(lost)
        limits = account.limits
        for shard in sorted(self._shares.shards):
            part = self._shares.share(workspace, shard)
            bucket = account.buckets_by_shard.get(shard)
            if bucket is not None:
                bucket.change(limits.rate * part, limits.burst * part, now)
            elif part > 0:
                starts_at = max(
                    self._shares.starts_at(shard),
                    self._added_at_by_workspace.get(workspace, 0),
                )
                account.buckets_by_shard[shard] = Bucket(
                    limits.rate * part, limits.burst * part, starts_at
                )

    def _account(self, workspace: str, now: float) -> Account | None:
        account = self._accounts_by_workspace.get(workspace)
        if account is not None or self._configuration is None:
            return account
        limits = self._configuration.limits(workspace)
        if limits is None:
            return None
        account = Account(limits, now)
        self._accounts_by_workspace[workspace] = account
        self._share_out(account, workspace, now)
        return account

    def _in_order(self, holders: tuple[Holder, ...]) -> tuple[Holder, ...]:
        others = [holder for holder in holders if holder.host != self._host]
        others.sort(key=self._distance)
        return tuple(others)

    def _distance(self, holder: Holder) -> tuple[bool, bool, int]:
        return (
            holder.region != self._region,
            holder.data_center != self._data_center,
            stable_hash(f'{self._host}/{holder.host}'),
        )
