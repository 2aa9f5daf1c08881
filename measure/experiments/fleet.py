"""A handful of edges and gates in virtual time around the real decisions.

`Node` plays the shells of one host: it routes and retries as an edge and
carries out the commands of its gates. A request visits the services of its
plan one after the other, each hop holding its slot until the next answered.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

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
from dragonflyknot.decisions.calls import LoadReport, Outcome, UpstreamState
from dragonflyknot.decisions.concurrency import Verdict
from dragonflyknot.decisions.deeper import DeeperCalls
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.retry import Failure, backoff_s
from dragonflyknot.decisions.routing import (
    AttemptEnded,
    AttemptSent,
    Ending,
    NoTarget,
    Target,
    TargetSeen,
)
from experiments.policies import GatePolicy, Policies, PoolPolicy
from experiments.virtual import FakeUpstream, VirtualLoop

LOCAL_S = 0.0002
DATA_CENTER_S = 0.001
REGION_S = 0.008


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a request; `plan` names the services still to visit."""

    name: str
    chain: str
    workspace: str
    priority: int
    deadline: float
    plan: tuple[str, ...]
    work_s: tuple[float, ...]
    body_bytes: int = 2000
    large: bool = False
    depth: int = 0

    def deeper(self, attempt: str) -> 'Request':
        """Return the call that an attempt makes on the next service."""
        return replace(
            self,
            name=f'{attempt}.',
            plan=self.plan[1:],
            work_s=self.work_s[1:],
            depth=self.depth + 1,
        )


@dataclass(frozen=True, slots=True)
class Reply:
    """Tell the hop before how its request ended."""

    ending: Ending
    unused: int = 0


Answer = Callable[[Reply], None]


@dataclass(slots=True)
class Meter:
    """Count what the callers can't see."""

    inversions: int = 0
    attempts: int = 0
    retries_by_chain: dict[str, int] = field(default_factory=dict)

    def retried(self, request: Request) -> None:
        """Count a retry against its chain."""
        count = self.retries_by_chain.get(request.chain, 0)
        self.retries_by_chain[request.chain] = count + 1

    def retries_max(self) -> int:
        """Return the most retries that one chain had."""
        return max(self.retries_by_chain.values(), default=0)


@dataclass(slots=True)
class _Inbound:
    request: Request
    arrived_at: float
    pool: PoolPolicy
    answer: Answer
    started_at: float = -1
    working: bool = False
    deeper_s: float = 0
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
        self._deeper = DeeperCalls()

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
            inbound.deeper_s = self._now - called_at
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
            inbound.deeper_s,
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


class EdgeCall:
    """Route one call and retry it as the policies allow."""

    def __init__(
        self, node: 'Node', request: Request, pool: PoolPolicy, answer: Answer
    ) -> None:
        """Start with nothing sent."""
        self._node = node
        self._request = request
        self._pool = pool
        self._answer = answer
        self._excluded: frozenset[str] = frozenset()
        self._tries = 0
        self._cancel: Callable[[], None] | None = None
        self._judge: Callable[[], None] | None = None
        self._over = False

    def send(self) -> None:
        """Send an attempt to the target that the router chooses."""
        node = self._node
        request = self._request
        if self._over:
            return
        if request.deadline <= node.loop.now and node.policies.cancels:
            self._end(Ending.REFUSED)
            return
        choice = node.router.choose(
            request.plan[0],
            request.priority,
            self._excluded,
            request.large,
            node.loop.now,
            node.rng,
            request.workspace,
        )
        match choice:
            case NoTarget(refusal):
                self._count_edge_inversion(refusal)
                self._end(Ending.REFUSED)
            case Target(host, _):
                self._send_to(host)

    def give_up(self) -> None:
        """Stop waiting; cancel the attempt if the policies do."""
        if self._judge is not None:
            self._judge()
        if self._node.policies.cancels:
            self.cancel()

    def cancel(self) -> None:
        """Cancel the attempt in flight."""
        if self._over:
            return
        self._over = True
        if self._cancel is not None:
            self._cancel()

    def _send_to(self, host: str) -> None:
        node = self._node
        request = self._request
        self._tries += 1
        name = f'{request.name}/{self._tries}'
        node.meter.attempts += 1
        event = AttemptSent(
            host,
            name,
            request.body_bytes,
            request.workspace,
            request.priority,
        )
        node.router.handle(event, node.loop.now)
        target = node.peers_by_host[host]
        delay_s = node.delay_s(target)
        handed = self._pool.hand_over(self._pool.left)
        pool = node.policies.pool(handed)
        gate = target.gates_by_service[request.plan[0]]

        def back(reply: Reply) -> None:
            report = gate.report()
            node.loop.after(
                delay_s, lambda: self._ended(host, name, reply, handed, report)
            )

        def cancel() -> None:
            ended = AttemptEnded(host, name, Ending.CANCELLED)
            node.router.handle(ended, node.loop.now)
            node.loop.after(delay_s, lambda: gate.cancel(name))

        self._cancel = cancel
        self._judge = partial(gate.give_up, name)
        node.loop.after(delay_s, lambda: gate.arrive(name, request, pool, back))

    def _ended(
        self,
        host: str,
        name: str,
        reply: Reply,
        handed: int,
        report: LoadReport,
    ) -> None:
        if self._over:
            return
        node = self._node
        now = node.loop.now
        event = AttemptEnded(host, name, reply.ending, report)
        node.router.handle(event, now)
        self._pool.take_back(handed, reply.unused)
        if reply.ending is Ending.DONE:
            node.budget.succeeded(now, self._request.workspace)
            self._end(Ending.DONE)
        elif self._may_repeat(reply.ending):
            self._excluded |= {host}
            node.budget.retried(now, self._request.workspace)
            node.meter.retried(self._request)
            node.loop.after(backoff_s(self._tries, node.rng), self.send)
        else:
            self._end(reply.ending)

    def _may_repeat(self, ending: Ending) -> bool:
        node = self._node
        deeper = ending is Ending.DEEPER
        ran = deeper or ending is Ending.FAILED
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        failure = Failure(outcome, idempotent=True, deeper=deeper)
        return (
            node.policies.may_repeat(failure)
            and node.budget.may_retry(node.loop.now, self._request.workspace)
            and self._pool.spend()
        )

    def _end(self, ending: Ending) -> None:
        self._over = True
        self._answer(Reply(ending))

    def _count_edge_inversion(self, refusal: Refusal) -> None:
        if refusal is not Refusal.SHED:
            return
        request = self._request
        passed_over = any(
            gate.waits_below(request.priority)
            for peer in self._node.peers_by_host.values()
            if peer.place.host not in self._excluded
            and (gate := peer.gates_by_service.get(request.plan[0]))
        )
        if passed_over:
            self._node.meter.inversions += 1


class Node:
    """Play one host: an edge, and a gate for each service beside it."""

    def __init__(self, place: 'Place', fleet: 'Fleet') -> None:
        """Start without gates."""
        self.place = place
        self.loop = fleet.loop
        self.policies = fleet.policies
        self.rng = fleet.rng
        self.meter = fleet.meter
        self.peers_by_host = fleet.nodes_by_host
        self.gates_by_service: dict[str, GateHost] = {}
        self.budget = fleet.policies.budget()
        self.router = fleet.policies.router(
            place.host, place.data_center, place.region
        )

    def submit(
        self, request: Request, pool: PoolPolicy, answer: Answer
    ) -> EdgeCall:
        """Take a request at this host's edge."""
        call = EdgeCall(self, request, pool, answer)
        self.loop.after(LOCAL_S, call.send)
        return call

    def delay_s(self, other: 'Node') -> float:
        """Return the latency one way."""
        if other.place.host == self.place.host:
            return LOCAL_S
        same = other.place.region == self.place.region
        return DATA_CENTER_S if same else REGION_S


@dataclass(frozen=True, slots=True)
class Place:
    """Say where a host stands."""

    host: str
    data_center: str
    region: str


@dataclass(slots=True)
class Fleet:
    """Hold the nodes and make gates on them."""

    policies: Policies
    rng: random.Random
    loop: VirtualLoop = field(default_factory=VirtualLoop)
    meter: Meter = field(default_factory=Meter)
    nodes_by_host: dict[str, Node] = field(default_factory=dict)

    def add_node(self, place: Place) -> Node:
        """Add a host."""
        node = Node(place, self)
        self.nodes_by_host[place.host] = node
        return node

    def add_gate(
        self, host: str, service: Service, slots: int, announced: int
    ) -> GateHost:
        """Put a warm upstream with its gate beside a host's edge."""
        node = self.nodes_by_host[host]
        gate = self.policies.gate(service)
        upstream = FakeUpstream(self.loop, slots)
        gate_host = GateHost(node, gate, upstream)
        gate_host.announce(announced, UpstreamState.DRAINING)
        gate_host.announce(announced, UpstreamState.READY)
        node.gates_by_service[service.name] = gate_host
        return gate_host

    def gossip(self) -> None:
        """Tell every edge about every gate, now and each second."""
        for node in self.nodes_by_host.values():
            for peer in self.nodes_by_host.values():
                for service, gate in peer.gates_by_service.items():
                    event = TargetSeen(
                        peer.place.host,
                        1,
                        service,
                        peer.place.data_center,
                        peer.place.region,
                        gate.report().state,
                        gate.report(),
                    )
                    node.router.handle(event, self.loop.now)
        self.loop.after(1, self.gossip)

    def link_bytes(self) -> int:
        """Return the bytes that crossed the link between regions."""
        return sum(
            node.router.link_bytes for node in self.nodes_by_host.values()
        )
