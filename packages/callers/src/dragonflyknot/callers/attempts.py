"""Send a call to gates until it is served or refused.

Each attempt goes to another gate. Only a refusal of a request that did not
run, or a failure of an idempotent call, is retried. A retry spends one from
the retry pool of the chain and, unless the refusal is unrelated to load, one
from the retry budget of the daemon.
"""

import asyncio
import time
from dataclasses import dataclass, field, replace

import structlog
from aiohttp import web

from dragonflyknot.callers import ports
from dragonflyknot.callers.attemptprobe import AttemptProbe
from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions import ledger, retry, routing
from dragonflyknot.decisions.calls import (
    Attempt,
    Call,
    LoadReport,
    Outcome,
)
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange import sending
from dragonflyknot.exchange.bodies import MAX_REPLAYABLE_BODY_BYTES
from dragonflyknot.exchange.headerfilter import answer_head
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.exchange.relaying import BrokenAnswer, relay

_log = structlog.get_logger(__name__)

_MIN_SERVER_ERROR_STATUS = 500
# A gate that drains or has restarted refuses at any load, so retries after
# these refusals are bounded by the retry pool alone.
_UNRELATED_TO_LOAD = frozenset(
    (
        Refusal.DRAINING,
        Refusal.NO_UPSTREAM,
        Refusal.REVOKED,
        Refusal.WRONG_INCARNATION,
    )
)

CallResult = web.StreamResponse | Refused


@dataclass(slots=True)
class CallRun:
    """Track the progress of one call through its attempts."""

    call: Call
    request: web.BaseRequest
    outgoing: sending.OutgoingRequest
    pool: retry.RetryPool
    excluded_hosts: set[str] = field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False
    answer_bytes: int = 0


class Attempts:
    """Run calls: choose gates, send attempts and retry."""

    def __init__(self, edge_ports: ports.EdgePorts) -> None:
        """Create a runner on the ports of the daemon."""
        self._ports = edge_ports

    async def run(self, run: CallRun) -> CallResult:
        """Return the relayed response, or the refusal if there is none."""
        while True:
            result = await self._attempt(run)
            if isinstance(result, web.StreamResponse):
                return result
            if not self._may_retry(run, result):
                return _with_known_outcome(run, result)
            self._ports.tally.retries += 1
            await asyncio.sleep(retry.backoff_s(run.attempts, self._ports.rng))

    async def _attempt(self, run: CallRun) -> CallResult:
        now = time.monotonic()
        if now >= run.call.deadline:
            return Refused(Refusal.NO_TIME)
        choice = self._ports.router.choose(
            run.call.service,
            run.call.priority,
            frozenset(run.excluded_hosts),
            _is_large(run),
            now,
            self._ports.rng,
            run.call.workspace,
        )
        match choice:
            case routing.NoTarget(refusal, retry_after_s):
                return Refused(refusal, retry_after_s, is_final=True)
            case routing.Target():
                return await self._send(run, choice)

    async def _send(self, run: CallRun, target: routing.Target) -> CallResult:
        run.attempts += 1
        handed_over = run.pool.hand_over(_retries_to_hand_over(run.pool.left))
        attempt = Attempt(
            attempt_id=ledger.make_attempt_id(
                self._ports.sender.epoch(target.host),
                run.call.request_id,
                run.attempts,
            ),
            host=target.host,
            incarnation=target.incarnation,
            call=replace(run.call, retries=handed_over),
        )
        sent = routing.AttemptSent(
            target.host,
            attempt.attempt_id,
            run.outgoing.body.length or 0,
            run.call.workspace,
            run.call.priority,
        )
        self._ports.router.handle(sent, time.monotonic())
        ending, report = routing.Ending.CANCELLED, None
        try:
            received = await self._await_answer(run, attempt)
            ending, report = _router_ending(received), _load_report(received)
            return await self._handle_received(
                run, attempt, received, handed_over
            )
        except BrokenAnswer as broken:
            ending = routing.Ending.FAILED
            return self._handle_broken(run, broken)
        finally:
            ended = routing.AttemptEnded(
                target.host,
                attempt.attempt_id,
                ending,
                report,
                run.answer_bytes,
            )
            self._ports.router.handle(ended, time.monotonic())

    async def _await_answer(
        self, run: CallRun, attempt: Attempt
    ) -> sending.GateResult:
        sender = self._ports.sender
        scope = asyncio.timeout(None)
        probe = AttemptProbe(sender, attempt, scope)
        try:
            async with scope:
                with probe:
                    return await sender.send(attempt, run.outgoing)
        except TimeoutError:
            return sending.ConnectionFailed(
                was_sent=True, resolved=probe.resolved
            )

    async def _handle_received(
        self,
        run: CallRun,
        attempt: Attempt,
        received: sending.GateResult,
        handed_over: int,
    ) -> CallResult:
        match received:
            case sending.Answered(answer, _, unused):
                run.pool.take_back(handed_over, unused)
                async with answer:
                    return await self._relay(run, received)
            case sending.Rejected(refused, _, unused):
                run.pool.take_back(handed_over, unused)
                run.excluded_hosts.add(attempt.host)
                return refused
            case sending.ConnectionFailed(was_sent=False):
                run.pool.take_back(handed_over, handed_over)
                run.excluded_hosts.add(attempt.host)
                return Refused(Refusal.NO_UPSTREAM)
            case sending.ConnectionFailed(resolved=resolved):
                run.excluded_hosts.add(attempt.host)
                return await self._resolve(run, attempt, handed_over, resolved)

    async def _resolve(
        self,
        run: CallRun,
        attempt: Attempt,
        handed_over: int,
        known: ledger.Resolved | None,
    ) -> Refused:
        self._ports.tally.resolves += 1
        resolved = known or await self._ports.sender.resolve(attempt)
        refused = _refusal_of_lost(resolved)
        if refused.known_outcome is Outcome.NOT_RUN:
            # An attempt that never ran cannot have spent its retries.
            run.pool.take_back(handed_over, handed_over)
        _log.warning(
            'attempt_lost',
            request=run.call.request_id,
            chain=run.call.chain_id,
            host=attempt.host,
            outcome=refused.known_outcome.value,
        )
        return refused

    async def _relay(
        self, run: CallRun, received: sending.Answered
    ) -> web.StreamResponse:
        head = answer_head(
            received.answer.headers, {names.REQUEST_ID: run.call.request_id}
        )
        run.may_have_run = True
        response = await relay(received.answer, run.request, head)
        run.answer_bytes = received.answer.content.total_bytes
        if received.answer.status < _MIN_SERVER_ERROR_STATUS:
            self._ports.budget.record_success(
                time.monotonic(), run.call.workspace
            )
        return response

    def _handle_broken(self, run: CallRun, broken: BrokenAnswer) -> Refused:
        self._ports.tally.broken_answers += 1
        if broken.was_begun:
            raise broken
        return Refused(Refusal.UPSTREAM_BROKE)

    def _may_retry(self, run: CallRun, refused: Refused) -> bool:
        if refused.known_outcome is not Outcome.NOT_RUN:
            run.may_have_run = True
            if not run.call.idempotent:
                return False
        if refused.is_final or not run.outgoing.body.can_be_sent:
            return False
        now = time.monotonic()
        if now >= run.call.deadline:
            return False
        if not _is_related_to_load(refused):
            return run.pool.spend()
        return self._spend_retry(run, now)

    def _spend_retry(self, run: CallRun, now: float) -> bool:
        budget = self._ports.budget
        workspace = run.call.workspace
        if not budget.may_retry(now, workspace) or not run.pool.spend():
            return False
        budget.record_retry(now, workspace)
        return True


def _is_related_to_load(refused: Refused) -> bool:
    if refused.refusal in _UNRELATED_TO_LOAD:
        return False
    # The gate finished the attempt: the connection was lost, not capacity.
    return refused.outcome is not Outcome.RAN


def _retries_to_hand_over(left: int) -> int:
    # Retries are most useful at the deepest hop, but a lost attempt loses
    # those handed over to it, so one of more than two is held back.
    return left - 1 if left > 2 else left


def _is_large(run: CallRun) -> bool:
    length = run.outgoing.body.length
    return length is None or length > MAX_REPLAYABLE_BODY_BYTES


def _router_ending(received: sending.GateResult) -> routing.Ending:
    match received:
        case sending.Answered(answer):
            if answer.status < _MIN_SERVER_ERROR_STATUS:
                return routing.Ending.DONE
            if names.HOP_DOWNSTREAM_FAILED in answer.headers:
                return routing.Ending.DEEPER
            return routing.Ending.FAILED
        case sending.Rejected(refused):
            return _router_ending_of_refusal(refused)
        case sending.ConnectionFailed(
            resolved=ledger.ResolvedNever() | ledger.ResolvedFinished()
        ):
            # The gate answered over a new connection, so the loss is not
            # counted as its failure.
            return routing.Ending.CANCELLED
        case sending.ConnectionFailed(was_sent=True):
            return routing.Ending.SILENT
        case sending.ConnectionFailed():
            return routing.Ending.UNREACHABLE


def _router_ending_of_refusal(refused: Refused) -> routing.Ending:
    if refused.known_outcome is Outcome.NOT_RUN:
        return routing.Ending.REFUSED
    if refused.is_final:
        return routing.Ending.DEEPER
    return routing.Ending.FAILED


def _refusal_of_lost(resolved: ledger.Resolved) -> Refused:
    match resolved:
        case ledger.ResolvedNever():
            return Refused(Refusal.NO_UPSTREAM, outcome=Outcome.NOT_RUN)
        case ledger.ResolvedFinished():
            return Refused(Refusal.UPSTREAM_BROKE, outcome=Outcome.RAN)
        case ledger.ResolvedQueued() | ledger.ResolvedRunning():
            return Refused(Refusal.UPSTREAM_SILENT)
        case ledger.ResolvedUnknown():
            return Refused(Refusal.UPSTREAM_BROKE)


def _load_report(received: sending.GateResult) -> LoadReport | None:
    match received:
        case sending.Answered() | sending.Rejected():
            return received.report
        case sending.ConnectionFailed():
            return None


def _with_known_outcome(run: CallRun, refused: Refused) -> Refused:
    if refused.known_outcome is Outcome.NOT_RUN and run.may_have_run:
        return replace(refused, outcome=Outcome.UNKNOWN)
    return refused
