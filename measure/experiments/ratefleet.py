"""A few rate machines joined by fake messages and a fake table.

Everything runs in virtual time from one seed. The fakes lose, double and
delay messages, pause and kill daemons, cut regions, and let the table be
out or lose its answers. Each daemon has a clock of its own.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, Spent
from dragonflyknot.decisions.leaserows import (
    AnswerWitness,
    AskWitness,
    CandidatesChanged,
    DeleteHeartbeat,
    HeartbeatRow,
    LayoutInstalled,
    LeaseEvent,
    LeaseSettings,
    LeaseTicked,
    Nudge,
    Nudged,
    ReadRows,
    RowRefused,
    RowsRead,
    RowsUnread,
    RowUnanswered,
    RowWrite,
    RowWritten,
    ShardRow,
    StopFinished,
    Stopped,
    WitnessAnswered,
    WitnessAsked,
    WriteHeartbeat,
    WriteShard,
)
from dragonflyknot.decisions.leases import LeaseKeeper
from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.quota import Quota, QuotaSettings
from dragonflyknot.decisions.ratemessages import (
    Admit,
    AnswerGrant,
    AskGrant,
    ConfigurationInstalled,
    GiveBack,
    GrantAnswered,
    GrantAsked,
    HoldersChanged,
    LayoutConfirmed,
    LeaseExtended,
    RateEvent,
    RefuseRate,
    ShardGained,
    ShardLost,
    Spend,
    Ticked,
)

STORE_TIMEOUT_S = 1.0
LEASE_TICK_S = 0.1
REGION_LATENCY_S = 0.008
LOCAL_LATENCY_S = 0.001
JITTER_S = 0.0005

_Action = Callable[[], None]


@dataclass(slots=True)
class Faults:
    """Set what goes wrong; probabilities from 0 to 1."""

    lost: float = 0
    doubled: float = 0
    late: float = 0
    latest_s: float = 0
    store_out: bool = False
    store_answer_lost: float = 0
    store_late: float = 0
    region_cut: bool = False


@dataclass(frozen=True, slots=True)
class Admission:
    """Record a request that was let through, in true time."""

    request_id: str
    workspace: str
    at: float


@dataclass(slots=True)
class FakeTable:
    """Keep shard rows and heartbeat rows with conditional writes."""

    shards: dict[int, ShardRow] = field(default_factory=dict)
    heartbeats: dict[str, HeartbeatRow] = field(default_factory=dict)
    writes: int = 0
    reads: int = 0

    def apply(self, write: RowWrite) -> bool:
        """Carry out a write if its condition holds."""
        self.writes += 1
        match write:
            case WriteHeartbeat(row, expected):
                old = self.heartbeats.get(row.holder)
                if getattr(old, 'counter', None) != expected:
                    return False
                self.heartbeats[row.holder] = row
            case DeleteHeartbeat(row):
                if self.heartbeats.get(row.holder) != row:
                    return False
                self.heartbeats.pop(row.holder)
            case WriteShard(shard_row, expected):
                shard = self.shards.get(shard_row.shard)
                if getattr(shard, 'epoch', None) != expected:
                    return False
                self.shards[shard_row.shard] = shard_row
        return True


class FleetDaemon:
    """Run the rate machines of one daemon."""

    def __init__(
        self,
        fleet: 'RateFleet',
        candidate: Candidate,
        incarnation: int,
        offset_s: float,
    ) -> None:
        self.fleet = fleet
        self.candidate = candidate
        self.offset_s = offset_s
        self.alive = True
        self.stopping = False
        self.paused_until = float(0)
        self.usable_until = float(0)
        self.quota = Quota(
            candidate.host,
            incarnation,
            candidate.data_center,
            candidate.region,
            fleet.quota_settings,
        )
        self.keeper = LeaseKeeper(candidate, fleet.lease_settings)

    def clock(self) -> float:
        """Return the monotonic clock of this daemon."""
        return self.fleet.now + self.offset_s

    def start(self) -> None:
        """Begin to tick."""
        self.install(self.fleet.configuration)
        self._tick_rates()
        self._tick_leases()

    def install(self, configuration: Configuration) -> None:
        """Put a revision in force at this daemon."""
        self.rate(ConfigurationInstalled(configuration))
        layout = self.quota.layout
        assert layout is not None
        number = configuration.revision.number
        self.lease(LayoutInstalled(number, layout.digest))

    def rate(self, event: RateEvent) -> None:
        """Feed the quota and carry out its commands."""
        for command in self.quota.handle(event, self.clock()):
            match command:
                case Admit(request_id, spent):
                    self.fleet.admit(self, request_id, spent)
                case RefuseRate(request_id):
                    self.fleet.refuse(request_id)
                case AskGrant(host, request):
                    self.fleet.ask(self, host, request)
                case AnswerGrant():
                    raise AssertionError('answers are handled by their asker')

    def answer(self, request: GrantRequest) -> GrantAnswer:
        """Answer another daemon's request for tokens."""
        command = self.quota.handle(GrantAsked(request), self.clock())[0]
        assert isinstance(command, AnswerGrant)
        return command.answer

    def lease(self, event: LeaseEvent) -> None:
        """Feed the lease keeper and carry out its commands."""
        for command in self.keeper.handle(event, self.clock()):
            match command:
                case ReadRows(asked_at):
                    self.fleet.read(self, asked_at)
                case WriteHeartbeat() | WriteShard() | DeleteHeartbeat():
                    self.fleet.write(self, command)
                case AskWitness():
                    self.fleet.ask_witness(self, command)
                case Nudge(host):
                    self.fleet.nudge(self, host)
                case LeaseExtended(until):
                    self.usable_until = until
                    self.rate(command)
                case (
                    ShardGained()
                    | ShardLost()
                    | LayoutConfirmed()
                    | HoldersChanged()
                ):
                    self.rate(command)
                case StopFinished():
                    self.alive = False
                case AnswerWitness():
                    raise AssertionError('answers are handled by their asker')

    def answer_witness(self, holder: str) -> AnswerWitness:
        """Answer another daemon's request for a short lease."""
        commands = self.keeper.handle(WitnessAsked(holder), self.clock())
        command = commands[0]
        assert isinstance(command, AnswerWitness)
        return command

    def _tick_rates(self) -> None:
        self.rate(Ticked())
        self.fleet.at_daemon(self, self.quota.next_tick_s(), self._tick_rates)

    def _tick_leases(self) -> None:
        self.lease(LeaseTicked())
        self.fleet.at_daemon(self, LEASE_TICK_S, self._tick_leases)


class RateFleet:
    """Join daemons in virtual time and record what they admit."""

    def __init__(
        self,
        configuration: Configuration,
        seed: int,
        quota_settings: QuotaSettings,
        lease_settings: LeaseSettings,
    ) -> None:
        self.configuration = configuration
        self.quota_settings = quota_settings
        self.lease_settings = lease_settings
        self.now = float(0)
        self.rng = Random(seed)
        self.faults = Faults()
        self.table = FakeTable()
        self.daemons_by_host: dict[str, FleetDaemon] = {}
        self.admissions_by_id: dict[str, Admission] = {}
        self.spent_by_id: dict[str, tuple[FleetDaemon, Spent]] = {}
        self.waits_s: list[float] = []
        self.refused = 0
        self.messages: Counter[str] = Counter()
        self.crossings = 0
        self._asked_at_by_id: dict[str, float] = {}
        self._queue: list[tuple[float, int, _Action]] = []
        self._serial = itertools.count()

    def at(self, delay_s: float, action: _Action) -> None:
        """Run an action after a delay."""
        entry = (self.now + delay_s, next(self._serial), action)
        heapq.heappush(self._queue, entry)

    def at_daemon(
        self, daemon: FleetDaemon, delay_s: float, action: _Action
    ) -> None:
        """Run an action at a daemon that is alive and not paused."""

        def guarded() -> None:
            if not daemon.alive:
                return
            if daemon.paused_until > self.now:
                self.at(daemon.paused_until - self.now, guarded)
                return
            action()

        self.at(delay_s, guarded)

    def run(self, until: float) -> None:
        """Let virtual time pass."""
        while self._queue and self._queue[0][0] <= until:
            entry = heapq.heappop(self._queue)
            self.now = entry[0]
            entry[2]()
        self.now = until

    def join(self, candidate: Candidate, incarnation: int) -> FleetDaemon:
        """Start a daemon with a clock of its own."""
        offset_s = self.rng.uniform(0, 100_000)
        daemon = FleetDaemon(self, candidate, incarnation, offset_s)
        self.daemons_by_host[candidate.host] = daemon
        daemon.start()
        return daemon

    def tell_members(self) -> None:
        """Tell all daemons who is alive."""
        candidates = tuple(
            daemon.candidate
            for daemon in self.daemons_by_host.values()
            if daemon.alive and not daemon.stopping
        )
        event = CandidatesChanged(candidates)
        for receiver in self.daemons_by_host.values():
            self.at_daemon(receiver, 0, partial(receiver.lease, event))

    def stop(self, host: str) -> None:
        """Stop a daemon in the planned way."""
        daemon = self.daemons_by_host[host]
        daemon.stopping = True
        self.at_daemon(daemon, 0, lambda: daemon.lease(Stopped()))

    def request(self, host: str, workspace: str, request_id: str) -> None:
        """Let a caller ask a daemon."""
        self._asked_at_by_id[request_id] = self.now
        daemon = self.daemons_by_host[host]
        event = Spend(request_id, workspace, daemon.clock() + 10)
        self.at_daemon(daemon, 0, lambda: daemon.rate(event))

    def admit(self, daemon: FleetDaemon, request_id: str, spent: Spent) -> None:
        """Record an admission."""
        self.admissions_by_id[request_id] = Admission(
            request_id, spent.workspace, self.now
        )
        self.spent_by_id[request_id] = (daemon, spent)
        self.waits_s.append(self.now - self._asked_at_by_id[request_id])

    def refuse(self, request_id: str) -> None:
        """Record a refusal."""
        self.refused += 1

    def give_back(self, request_id: str) -> None:
        """Report that an admitted request was not run."""
        daemon, spent = self.spent_by_id.pop(request_id)
        self.admissions_by_id.pop(request_id)
        self.at_daemon(daemon, 0, lambda: daemon.rate(GiveBack(spent)))

    def ask(
        self, sender: FleetDaemon, host: str, request: GrantRequest
    ) -> None:
        """Carry a grant request and its answer."""
        self.messages['grant'] += 1

        def deliver(receiver: FleetDaemon) -> None:
            answer = receiver.answer(request)
            if request.amount > 0:
                self._send(
                    receiver,
                    sender,
                    lambda edge: edge.rate(GrantAnswered(answer)),
                )

        receiver = self.daemons_by_host.get(host)
        if receiver is not None:
            self._send(sender, receiver, deliver)

    def ask_witness(self, sender: FleetDaemon, ask: AskWitness) -> None:
        """Carry a request for a short lease and its answer."""
        self.messages['witness'] += 1

        def deliver(receiver: FleetDaemon) -> None:
            answer = receiver.answer_witness(ask.holder)
            event = WitnessAnswered(
                answer.witness, ask.holder, ask.asked_at, answer.granted
            )
            self._send(receiver, sender, lambda holder: holder.lease(event))

        receiver = self.daemons_by_host.get(ask.host)
        if receiver is not None:
            self._send(sender, receiver, deliver)

    def nudge(self, sender: FleetDaemon, host: str) -> None:
        """Carry a nudge."""
        receiver = self.daemons_by_host.get(host)
        if receiver is not None:
            self._send(sender, receiver, lambda one: one.lease(Nudged()))

    def read(self, daemon: FleetDaemon, asked_at: float) -> None:
        """Carry a read of all rows."""
        if self.faults.store_out:
            self.at_daemon(
                daemon, STORE_TIMEOUT_S, lambda: daemon.lease(RowsUnread())
            )
            return

        def reply() -> None:
            self.table.reads += 1
            event = RowsRead(
                asked_at,
                tuple(self.table.shards.values()),
                tuple(self.table.heartbeats.values()),
            )
            self.at_daemon(
                daemon, self._store_latency_s(), lambda: daemon.lease(event)
            )

        self.at(self._store_latency_s(), reply)

    def write(self, daemon: FleetDaemon, write: RowWrite) -> None:
        """Carry a conditional write; its answer may be lost."""
        faults = self.faults
        late = self.rng.random() < faults.store_late
        silent = late or self.rng.random() < faults.store_answer_lost
        if faults.store_out or silent:
            self.at_daemon(
                daemon,
                STORE_TIMEOUT_S,
                lambda: daemon.lease(RowUnanswered(write)),
            )
        if faults.store_out:
            return

        def carry_out() -> None:
            applied = self.table.apply(write)
            event = RowWritten(write) if applied else RowRefused(write)
            if not silent:
                self.at_daemon(
                    daemon,
                    self._store_latency_s(),
                    lambda: daemon.lease(event),
                )

        delay_s = self._store_latency_s()
        if late:
            delay_s += self.rng.uniform(0, self.lease_settings.lease_s * 2)
        self.at(delay_s, carry_out)

    def _send(
        self,
        sender: FleetDaemon,
        receiver: FleetDaemon,
        deliver: Callable[[FleetDaemon], None],
    ) -> None:
        faults = self.faults
        across = sender.candidate.region != receiver.candidate.region
        self.crossings += across
        if across and faults.region_cut:
            return
        if self.rng.random() < faults.lost:
            return
        copies = 1 + (self.rng.random() < faults.doubled)
        latency_s = REGION_LATENCY_S if across else LOCAL_LATENCY_S
        for _ in range(copies):
            delay_s = latency_s + self.rng.uniform(0, JITTER_S)
            if self.rng.random() < faults.late:
                delay_s += self.rng.uniform(0, faults.latest_s)
            self.at_daemon(receiver, delay_s, partial(deliver, receiver))

    def _store_latency_s(self) -> float:
        return 0.003 + self.rng.random() * 0.005


def window_overrun(
    admitted_at: list[float], rate: float, burst: float
) -> float:
    """Return by how many requests the worst window exceeds its bound."""
    lowest = float('inf')
    worst = float('-inf')
    for count, at in enumerate(sorted(admitted_at)):
        lowest = min(lowest, count - rate * at)
        worst = max(worst, count + 1 - rate * at - lowest)
    return max(0, worst - burst)
