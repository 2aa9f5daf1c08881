"""Run the rate machines: spend tokens, move grants and keep the leases.

`Rates` feeds a `Quota` and a `LeaseManager` with events from the edge, the
table and other daemons, and carries out their commands. A token at hand is
spent without awaiting anything.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog
from result import Err

from dragonflyknot.callers.ports import RateRefused
from dragonflyknot.daemon.leasetable import LeaseTable
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions import leasemessages as lease
from dragonflyknot.decisions import ratemessages as rate
from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, SpentToken
from dragonflyknot.decisions.leases import LeaseManager
from dragonflyknot.decisions.members import Member, Standing
from dragonflyknot.decisions.placement import Candidate, select_candidates
from dragonflyknot.decisions.quota import Quota, QuotaSettings
from dragonflyknot.stores.interfaces import Table

LEASE_TICK_S = 0.1
AGREE_RETRY_S = 1.0
STOP_TIMEOUT_S = 2.0

_log = structlog.get_logger(__name__)


class GrantClient(Protocol):
    """Call the rate machines of other daemons, by host."""

    async def ask(self, host: str, request: GrantRequest) -> GrantAnswer | None:
        """Ask a holder for tokens; none without an answer in time."""

    async def ask_witness(
        self, host: str, holder: str
    ) -> lease.AnswerWitness | None:
        """Ask for a short lease; none without an answer in time."""

    async def nudge(self, host: str) -> None:
        """Tell a daemon to read the lease rows; it may get lost."""


@dataclass(frozen=True, slots=True)
class RateSettings:
    """Say where this daemon is and how the fleet shares its rates.

    At most `candidates` daemons hold shards.
    """

    host: str
    incarnation: int
    data_center: str
    region: str
    environment: str
    candidates: int = 64
    quota: QuotaSettings = field(default_factory=QuotaSettings)
    leases: lease.LeaseSettings = field(default_factory=lease.LeaseSettings)


class Rates:
    """Own the rate machines of one daemon; a context manager."""

    def __init__(
        self,
        settings: RateSettings,
        table: Table,
        client: GrantClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Make the machines; `__aenter__` starts to run them."""
        self._settings = settings
        self._client = client
        self._clock = clock
        self._rows = LeaseTable(table, settings.environment, settings.leases)
        self.quota = Quota(
            settings.host,
            settings.incarnation,
            settings.data_center,
            settings.region,
            settings.quota,
        )
        self._members_by_host: dict[str, Candidate] = {}
        self._candidates: tuple[Candidate, ...] = ()
        self._waiting_by_id: dict[
            str, asyncio.Future[SpentToken | RateRefused]
        ] = {}
        self._tasks = Tasks()
        self._agreed = False
        self._revision = 0
        self._busy = asyncio.Event()
        self._stopped = asyncio.Event()
        self._begin(settings.incarnation)

    async def __aenter__(self) -> 'Rates':
        """Start to tick."""
        await self._tasks.__aenter__()
        self._tasks.start(self._tick_rates())
        self._tasks.start(self._keep_leases())
        return self

    async def __aexit__(self, *details: object) -> None:
        """Release all shards, within `STOP_TIMEOUT_S`, and end."""
        self._feed_lease(lease.StopRequested())
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._stopped.wait()
        except TimeoutError:
            _log.warning(
                'leases_not_released', held=len(self._lease_manager.held)
            )
        self._refuse_waiting()
        await self._tasks.__aexit__(*details)

    @property
    def held(self) -> frozenset[int]:
        """Return the shards that this daemon holds."""
        return self._lease_manager.held

    @property
    def usable_until(self) -> float:
        """Return until when the shards may be used, in monotonic seconds."""
        return self._lease_manager.usable_until

    async def spend(
        self, workspace: str, request_id: str, deadline: float
    ) -> SpentToken | RateRefused:
        """Return a token, or after a short wait that there is none."""
        spent = self.quota.spend(workspace, self._clock())
        if spent is not None:
            return spent
        return await self._wait(workspace, request_id, deadline)

    def give_back(self, spent: SpentToken) -> None:
        """Return the token of a request that did not run."""
        self._feed_rate(rate.GiveBack(spent))

    async def answer_grant(self, request: GrantRequest) -> GrantAnswer:
        """Answer another daemon's request for tokens."""
        commands = self.quota.handle(
            rate.GrantRequested(request), self._clock()
        )
        for command in commands:
            match command:
                case rate.AnswerGrant(answer):
                    return answer
        return GrantAnswer(request.grant_id, request.workspace, 0, holds=False)

    async def answer_witness(self, holder: str) -> lease.AnswerWitness:
        """Answer another daemon's request for a short lease."""
        now = self._clock()
        for command in self._lease_manager.handle(
            lease.WitnessAsked(holder), now
        ):
            match command:
                case lease.AnswerWitness():
                    return command
                case _:
                    self._carry_out_lease(command)
        return lease.AnswerWitness('', holder, granted=False)

    async def nudged(self) -> None:
        """Read the lease rows now."""
        self._feed_lease(lease.Nudged())

    def configure(self, configuration: Configuration) -> None:
        """Put the limits of a revision in force."""
        self._feed_rate(rate.ConfigurationInstalled(configuration))
        self._revision = configuration.revision.number
        self._follow_layout()

    def member_changed(self, member: Member) -> None:
        """Take in a member that is new or changed."""
        if member.standing is Standing.GONE:
            self.member_gone(member.host)
            return
        if member.host == self._settings.host:
            return
        candidate = Candidate(
            member.host,
            _daemon(member.host, member.incarnation),
            member.data_center,
            member.region,
        )
        if self._members_by_host.get(member.host) != candidate:
            self._members_by_host[member.host] = candidate
            self._choose_candidates()

    def member_gone(self, host: str) -> None:
        """Take in that a member left."""
        if host == self._settings.host:
            return
        if self._members_by_host.pop(host, None) is not None:
            self._choose_candidates()

    def adopt(self, incarnation: int) -> None:
        """Answer to a further incarnation of this process.

        The present leases are released, because others know this daemon by
        its new incarnation from now on.
        """
        self._feed_lease(lease.StopRequested())
        self._tasks.start(self._begin_again(incarnation))

    def _begin(self, incarnation: int) -> None:
        settings = self._settings
        me = Candidate(
            settings.host,
            _daemon(settings.host, incarnation),
            settings.data_center,
            settings.region,
        )
        self._lease_manager = LeaseManager(me, settings.leases)
        self._members_by_host[me.host] = me
        self._choose_candidates()
        self._follow_layout()

    async def _begin_again(self, incarnation: int) -> None:
        await self._stopped.wait()
        self._stopped.clear()
        self._begin(incarnation)

    def _follow_layout(self) -> None:
        layout = self.quota.layout
        if layout is not None:
            self._feed_lease(
                lease.LayoutInstalled(self._revision, layout.digest)
            )

    def _choose_candidates(self) -> None:
        candidates = select_candidates(
            self._members_by_host.values(), self._settings.candidates
        )
        self._feed_lease(lease.CandidatesChanged(candidates))

    async def _wait(
        self, workspace: str, request_id: str, deadline: float
    ) -> SpentToken | RateRefused:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[SpentToken | RateRefused] = loop.create_future()
        self._waiting_by_id[request_id] = future
        self._feed_rate(rate.Spend(request_id, workspace, deadline))
        self._busy.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(workspace, request_id, future)
            raise
        finally:
            self._waiting_by_id.pop(request_id, None)

    def _cancel(
        self,
        workspace: str,
        request_id: str,
        future: asyncio.Future[SpentToken | RateRefused],
    ) -> None:
        self._feed_rate(rate.SpendCancelled(request_id, workspace))
        if future.done() and not future.cancelled():
            match future.result():
                case SpentToken() as spent:
                    self.give_back(spent)

    def _refuse_waiting(self) -> None:
        for future in self._waiting_by_id.values():
            if not future.done():
                future.set_result(RateRefused(1))

    def _feed_rate(self, event: rate.RateEvent) -> None:
        for command in self.quota.handle(event, self._clock()):
            match command:
                case rate.Admit(request_id, spent):
                    self._settle_waiting(request_id, spent)
                case rate.RefuseRate(request_id, retry_after_s):
                    self._settle_waiting(request_id, RateRefused(retry_after_s))
                case rate.AskGrant(host, request):
                    self._tasks.start(self._ask(host, request))
                case rate.AnswerGrant():
                    _log.error('grant_answer_without_asker')

    def _settle_waiting(
        self, request_id: str, outcome: SpentToken | RateRefused
    ) -> None:
        future = self._waiting_by_id.get(request_id)
        if future is not None and not future.done():
            future.set_result(outcome)
            return
        match outcome:
            case SpentToken():
                # The caller went away while it waited.
                self.give_back(outcome)

    async def _ask(self, host: str, request: GrantRequest) -> None:
        answer = await self._client.ask(host, request)
        if request.amount <= 0:
            return
        if answer is None or answer.grant_id != request.grant_id:
            lost = rate.GrantRequestLost(request.grant_id, request.workspace)
            self._feed_rate(lost)
        else:
            self._feed_rate(rate.GrantAnswered(answer))

    async def _tick_rates(self) -> None:
        while True:
            self._busy.clear()
            try:
                async with asyncio.timeout(self.quota.next_tick_s()):
                    await self._busy.wait()
            except TimeoutError:
                self._feed_rate(rate.Ticked())

    async def _keep_leases(self) -> None:
        while True:
            if not self._agreed:
                await self._agree()
            else:
                self._feed_lease(lease.LeaseTicked())
                await asyncio.sleep(LEASE_TICK_S)

    async def _agree(self) -> None:
        agreement = await self._rows.agree()
        if isinstance(agreement, Err):
            _log.info('rate_layout_unknown', reason=agreement.err_value)
        elif agreement.ok_value:
            self._agreed = True
            return
        else:
            _log.error(
                'rate_layout_differs',
                remedy='give all daemons the same shards and lease times',
            )
        await asyncio.sleep(AGREE_RETRY_S)

    def _feed_lease(self, event: lease.LeaseEvent) -> None:
        for command in self._lease_manager.handle(event, self._clock()):
            self._carry_out_lease(command)

    def _carry_out_lease(self, command: lease.LeaseCommand) -> None:
        match command:
            case lease.ReadRows(asked_at):
                self._tasks.start(self._read(asked_at))
            case (
                lease.WriteHeartbeat()
                | lease.WriteShard()
                | lease.DeleteHeartbeat()
            ):
                self._tasks.start(self._write(command))
            case lease.AskWitness():
                self._tasks.start(self._ask_witness(command))
            case lease.Nudge(host):
                self._tasks.start(self._client.nudge(host))
            case lease.LeasesReleased():
                self._stopped.set()
            case lease.AnswerWitness():
                _log.error('witness_answer_without_asker')
            case _:
                self._feed_rate(command)

    async def _read(self, asked_at: float) -> None:
        self._feed_lease(await self._rows.read(asked_at))

    async def _write(self, write: lease.RowWrite) -> None:
        self._feed_lease(await self._rows.write(write))

    async def _ask_witness(self, ask: lease.AskWitness) -> None:
        answer = await self._client.ask_witness(ask.host, ask.holder)
        if answer is not None and answer.holder == ask.holder:
            self._feed_lease(
                lease.WitnessAnswered(
                    answer.witness, ask.holder, ask.asked_at, answer.granted
                )
            )


def _daemon(host: str, incarnation: int) -> str:
    return f'{host}/{incarnation}'
