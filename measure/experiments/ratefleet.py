"""A few rate machines joined by fake messages and a fake table.

Everything runs in virtual time from one seed. The fakes lose, double and
delay messages, pause and kill daemons, cut regions, and let the table be
out or lose its answers. Each daemon has a clock of its own.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantRequest, SpentToken
from dragonflyknot.decisions.leasemessages import (
    AskWitness,
    CandidatesChanged,
    LeaseSettings,
    Nudged,
    RowsRead,
    RowsReadFailed,
    RowWrite,
    RowWriteApplied,
    RowWriteRejected,
    RowWriteUnresolved,
    StopRequested,
    WitnessAnswered,
)
from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.quota import QuotaSettings
from dragonflyknot.decisions.ratemessages import (
    GiveBack,
    GrantAnswered,
    Spend,
)
from experiments.fakerates import Admission, FakeTable, Faults
from experiments.ratedaemon import FleetDaemon

STORE_TIMEOUT_S = 1.0
REGION_LATENCY_S = 0.008
LOCAL_LATENCY_S = 0.001
JITTER_S = 0.0005

_Action = Callable[[], None]


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
        self.spent_by_id: dict[str, tuple[FleetDaemon, SpentToken]] = {}
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
        self.at_daemon(daemon, 0, lambda: daemon.lease(StopRequested()))

    def request(self, host: str, workspace: str, request_id: str) -> None:
        """Let a caller ask a daemon."""
        self._asked_at_by_id[request_id] = self.now
        daemon = self.daemons_by_host[host]
        event = Spend(request_id, workspace, daemon.clock() + 10)
        self.at_daemon(daemon, 0, lambda: daemon.rate(event))

    def admit(
        self, daemon: FleetDaemon, request_id: str, spent: SpentToken
    ) -> None:
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
                daemon, STORE_TIMEOUT_S, lambda: daemon.lease(RowsReadFailed())
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
                lambda: daemon.lease(RowWriteUnresolved(write)),
            )
        if faults.store_out:
            return

        def carry_out() -> None:
            applied = self.table.apply(write)
            event = (
                RowWriteApplied(write) if applied else RowWriteRejected(write)
            )
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
