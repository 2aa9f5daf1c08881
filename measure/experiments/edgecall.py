"""A call that an edge routes and retries, in virtual time."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from dragonflyknot.decisions.calls import LoadReport, Outcome
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.retry import Failure, backoff_s
from dragonflyknot.decisions.routing import (
    AttemptEnded,
    AttemptSent,
    Ending,
    NoTarget,
    Target,
)
from experiments.policies import PoolPolicy
from experiments.traffic import Answer, Reply, Request

if TYPE_CHECKING:
    from experiments.fleet import Node


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
            node.budget.record_success(now, self._request.workspace)
            self._end(Ending.DONE)
        elif self._may_repeat(reply.ending):
            self._excluded |= {host}
            node.budget.record_retry(now, self._request.workspace)
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
