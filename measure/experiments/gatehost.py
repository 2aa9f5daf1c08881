"""A gate beside its fake upstream, in virtual time."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dragonflyknot.decisions.admission import (
    Announced,
    Arrived,
    Cancelled,
    Command,
    Finished,
    Refuse,
    Start,
    Ticked,
)
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.concurrency import Verdict
from dragonflyknot.decisions.downstream import DownstreamCalls
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.routing import (
    Ending,
)
from experiments.policies import GatePolicy, PoolPolicy
from experiments.traffic import Answer, Reply, Request
from experiments.virtual import FakeUpstream

if TYPE_CHECKING:
    from experiments.edgecall import EdgeCall
    from experiments.fleet import Node


@dataclass(slots=True)
class _Inbound:
    request: Request
    arrived_at: float
    pool: PoolPolicy
    answer: Answer
    started_at: float = -1
    working: bool = False
    downstream_s: float = 0
    call: 'EdgeCall | None' = None


class GateHost:
    """Carry out the commands of one gate beside its fake upstream."""

    def __init__(
        self,
        node: 'Node',
        gate: GatePolicy,
        upstream: FakeUpstream,
    ) -> None:
        """Start with a gate that has heard no announcement."""
        self.gate = gate
        self.upstream = upstream
        self._node = node
        self._inbound_by_id: dict[str, _Inbound] = {}
        self._waiting_by_priority: dict[int, int] = {}
        self._started_at_by_priority: dict[int, float] = {}
        self._tick_at: float | None = None
        self._refused: list[_Inbound] = []
        self._deeper = DownstreamCalls()

    def announce(self, slots: int, state: UpstreamState) -> None:
        """Announce the upstream to its gate."""
        event = Announced(slots, state)
        self._perform(self.gate.handle(event, self._now))

    def report(self) -> LoadReport:
        """Return the load that goes out with an answer."""
        return self.gate.report()

    def arrive(
        self, name: str, request: Request, pool: PoolPolicy, answer: Answer
    ) -> None:
        """Take an attempt from an edge."""
        inbound = _Inbound(request, self._now, pool, answer)
        self._inbound_by_id[name] = inbound
        self._count_waiting(request, 1)
        event = Arrived(
            name,
            request.workspace,
            request.priority,
            request.depth,
            request.deadline,
        )
        self._perform(self.gate.handle(event, self._now))

    def give_up(self, name: str) -> None:
        """Judge an attempt whose caller has stopped waiting."""
        inbound = self._inbound_by_id.get(name)
        if inbound is not None:
            self._judge(inbound)

    def cancel(self, name: str) -> None:
        """Stop an attempt whose caller went away."""
        inbound = self._inbound_by_id.pop(name, None)
        if inbound is None:
            return
        if inbound.started_at < 0:
            self._count_waiting(inbound.request, -1)
        elif inbound.working:
            self.upstream.cancel(name)
        elif inbound.call is not None:
            inbound.call.cancel()
            service = inbound.request.plan[1]
            self._deeper.ended(service, name, is_served=False, now=self._now)
        event = Cancelled(name)
        self._perform(self.gate.handle(event, self._now))

    @property
    def _now(self) -> float:
        return self._node.loop.now

    def _perform(self, commands: tuple[Command, ...]) -> None:
        for command in commands:
            match command:
                case Start(name):
                    self._start(name, self._inbound_by_id[name])
                case Refuse(name, refusal):
                    self._refuse(self._inbound_by_id.pop(name), refusal)
        while self._refused:
            self._judge(self._refused.pop())
        self._schedule_tick()

    def _refuse(self, inbound: _Inbound, refusal: Refusal) -> None:
        self._count_waiting(inbound.request, -1)
        hopeless = refusal is Refusal.NO_TIME
        if not hopeless or inbound.arrived_at < self._now:
            self._refused.append(inbound)
        inbound.answer(Reply(Ending.REFUSED, inbound.pool.seal()))

    def _start(self, name: str, inbound: _Inbound) -> None:
        request = inbound.request
        self._count_waiting(request, -1)
        self._started_at_by_priority[request.priority] = self._now
        inbound.started_at = self._now
        inbound.working = True
        work_s = request.work_s[0]
        self.upstream.start(name, work_s, lambda: self._worked(name, inbound))

    def _worked(self, name: str, inbound: _Inbound) -> None:
        inbound.working = False
        if self.upstream.fails:
            self._finish(name, Verdict.FAILED, Ending.FAILED)
        elif len(inbound.request.plan) == 1:
            self._finish(name, Verdict.SUCCEEDED, Ending.DONE)
        elif self._may_call(inbound.request):
            self._call_deeper(name, inbound)
        else:
            self._finish(name, Verdict.DEEPER, Ending.DEEPER)

    def _may_call(self, request: Request) -> bool:
        return not self._node.policies.cancels or self._deeper.may_call(
            request.plan[1],
            request.priority,
            self.report().limit,
            self._now,
        )

    def _call_deeper(self, name: str, inbound: _Inbound) -> None:
        called_at = self._now
        service = inbound.request.plan[1]
        self._deeper.started(service, name, called_at)

        def back(reply: Reply) -> None:
            served = reply.ending is Ending.DONE
            self._deeper.ended(service, name, is_served=served, now=self._now)
            inbound.downstream_s = self._now - called_at
            if served:
                self._finish(name, Verdict.SUCCEEDED, Ending.DONE)
            else:
                self._finish(name, Verdict.DEEPER, Ending.DEEPER)

        inbound.call = self._node.submit(
            inbound.request.deeper(name), inbound.pool, back
        )

    def _finish(self, name: str, verdict: Verdict, ending: Ending) -> None:
        inbound = self._inbound_by_id.pop(name, None)
        if inbound is None:
            return
        event = Finished(
            name,
            self._now - inbound.started_at,
            verdict,
            inbound.downstream_s,
        )
        commands = self.gate.handle(event, self._now)
        inbound.answer(Reply(ending, inbound.pool.seal()))
        self._perform(commands)

    def _judge(self, inbound: _Inbound) -> None:
        """Count an inversion if something less important went first."""
        if inbound.started_at >= 0:
            return
        priority = inbound.request.priority
        waits = any(
            count and lower < priority
            for lower, count in self._waiting_by_priority.items()
        )
        started = any(
            lower < priority and started_at > inbound.arrived_at
            for lower, started_at in self._started_at_by_priority.items()
        )
        if waits or started:
            self._node.meter.inversions += 1

    def waits_below(self, priority: int) -> bool:
        """Return whether something less important waits here."""
        return any(
            count and lower < priority
            for lower, count in self._waiting_by_priority.items()
        )

    def _count_waiting(self, request: Request, step: int) -> None:
        counts = self._waiting_by_priority
        counts[request.priority] = counts.get(request.priority, 0) + step

    def _schedule_tick(self) -> None:
        due = self.gate.next_deadline()
        if due is None or (self._tick_at is not None and self._tick_at <= due):
            return
        self._tick_at = due

        def tick() -> None:
            if self._tick_at != due:
                return
            self._tick_at = None
            self._perform(self.gate.handle(Ticked(), self._now))

        self._node.loop.after(max(0, due - self._now), tick)
