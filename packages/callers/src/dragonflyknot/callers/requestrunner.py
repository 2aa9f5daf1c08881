"""Send an admitted request to gates, in one or several attempts.

`resendrules` decides whether a request is sent again after an attempt. An
attempt that is late while another host has free slots is hedged if it may run
again: it goes on until another attempt has answered. The delay counts against
its host at once, not only when the request times out.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Any, Final

from dragonflyknot.callers.forwardedrequest import (
    AttemptRecord,
    ForwardedRequest,
)
from dragonflyknot.callers.hedging import (
    Hedge,
    HedgedAttempt,
    has_succeeded,
)
from dragonflyknot.callers.resendrules import ResendRules
from dragonflyknot.callers.siteedgeports import (
    LateAction,
    LateAttempt,
    SiteEdgePorts,
)
from dragonflyknot.decisions.balancer import LATE_AFTER_RATIO
from dragonflyknot.decisions.candidates import Candidate, Ending
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange import links
from dragonflyknot.exchange.hopheaders import Hop
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)

MAX_RETRY_PAUSE_S: Final = 0.02


class RequestRunner:
    """Send requests to gates until one answers."""

    def __init__(self, ports: SiteEdgePorts) -> None:
        """Create a runner on the ports of the daemon."""
        self._ports = ports
        self._rules = ResendRules(ports)

    async def run(self, forwarded: ForwardedRequest) -> Answered | Refusal:
        """Return the answer, or the refusal if there is none."""
        try:
            forwarded.outgoing.body = await forwarded.request.body()
        except links.BodyBroken:
            return Refusal.MALFORMED
        except links.NoRoomForBody:
            return Refusal.SHED
        self._ports.site_retries.count_request(
            forwarded.service, time.monotonic(), is_retry=forwarded.is_retry
        )
        outcome = await self._send_until_settled(
            forwarded, forwarded.request.task
        )
        return _result_of(forwarded, outcome)

    async def _send_until_settled(
        self, forwarded: ForwardedRequest, task: asyncio.Task[Any]
    ) -> Outcome:
        """Send a request in `task` until it may not be sent again."""
        while True:
            outcome = await self._send(forwarded, task)
            if not self._rules.should_send_again(forwarded, outcome):
                return outcome
            if isinstance(outcome, Answered):
                outcome.free()
            if forwarded.only_hosts:
                await asyncio.sleep(self._retry_pause_s())

    async def _send(
        self, forwarded: ForwardedRequest, task: asyncio.Task[Any]
    ) -> Outcome:
        """Return how an attempt, or a hedge beside it, ended."""
        ports = self._ports
        now = time.monotonic()
        candidate = ports.balancer.choose(forwarded.host_query, now, ports.rng)
        if candidate is None:
            return NotRun(Refusal.NO_UPSTREAM)
        forwarded.sends += 1
        forwarded.last_host = candidate.place.host
        hop = Hop(
            service=forwarded.service,
            workspace=forwarded.workspace,
            caller=ports.caller,
            route=forwarded.route.name,
            priority=forwarded.priority,
            left_s=forwarded.deadline - now,
            target_left_s=max(0, forwarded.aim_at - now),
            is_call=forwarded.is_call,
            version=ports.site.version,
            is_retry=forwarded.is_retry or bool(forwarded.reached_hosts),
            may_wait=bool(forwarded.only_hosts)
            or ports.balancer.may_wait(forwarded.service, forwarded.sends),
        )
        timed = _TimedAttempt(forwarded, candidate, now)
        hedged = HedgedAttempt(
            task,
            ports.balancer.late_after_s(candidate, forwarded.route.name, now),
            lambda: self._handle_late(timed),
        )
        return await hedged.run(self._send_to(timed, hop))

    async def _send_to(self, timed: '_TimedAttempt', hop: Hop) -> Outcome:
        """Return how an attempt at its candidate ended."""
        forwarded = timed.forwarded
        candidate = timed.candidate
        host = candidate.place.host
        candidate.in_flight += 1
        forwarded.pending_hosts.add(host)
        try:
            timed.outcome = await self._ports.sender.send(
                candidate, hop, forwarded.outgoing
            )
            if _has_reached_upstream(timed.outcome):
                forwarded.reached_hosts.add(host)
            return timed.outcome
        finally:
            forwarded.pending_hosts.discard(host)
            _record_end(timed)

    async def _hedge(self, forwarded: ForwardedRequest) -> Outcome:
        """Return how the attempts beside a late one ended."""
        task = asyncio.current_task()
        assert task is not None
        return await self._send_until_settled(forwarded, task)

    def _handle_late(self, timed: '_TimedAttempt') -> Hedge | None:
        """Count a late attempt against its host; return a hedge if allowed."""
        forwarded = timed.forwarded
        now = time.monotonic()
        waited_s = now - timed.began
        timed.is_counted_late = True
        timed.candidate.record_late(now)
        forwarded.reached_hosts.add(timed.candidate.place.host)
        may_hedge = self._may_hedge(timed, waited_s, now)
        self._ports.counts.late(
            LateAttempt(
                forwarded.request_id,
                forwarded.route.name,
                timed.candidate.place.host,
                waited_s,
                LateAction.HEDGED if may_hedge else LateAction.KEPT,
            )
        )
        return self._hedge(forwarded) if may_hedge else None

    def _may_hedge(
        self, timed: '_TimedAttempt', waited_s: float, now: float
    ) -> bool:
        """Return whether another attempt may run beside a late one."""
        forwarded = timed.forwarded
        # Without time for another attempt of the usual length, keep waiting.
        if forwarded.deadline - now < waited_s / LATE_AFTER_RATIO:
            return False
        if not self._ports.balancer.has_room(
            forwarded.service, forwarded.excluded_hosts, now
        ):
            return False
        return self._rules.may_run_again(forwarded)

    def _retry_pause_s(self) -> float:
        return MAX_RETRY_PAUSE_S * (1 + self._ports.rng.random()) / 2


def _result_of(
    forwarded: ForwardedRequest, outcome: Outcome
) -> Answered | Refusal:
    match outcome:
        case Answered():
            return outcome
        case NotRun(refusal):
            return Refusal.UPSTREAM_BROKE if forwarded.runs else refusal
        case MayHaveRun(refusal):
            return refusal


@dataclass(slots=True)
class _TimedAttempt:
    """Track an attempt and whether it was counted as late.

    `outcome` is None until the attempt has ended by itself.
    """

    forwarded: ForwardedRequest
    candidate: Candidate
    began: float
    outcome: Outcome | None = None
    is_counted_late: bool = False


def _record_end(timed: _TimedAttempt) -> None:
    candidate = timed.candidate
    forwarded = timed.forwarded
    candidate.in_flight -= 1
    ending = _balancer_ending(timed.outcome)
    if ending is Ending.CANCELLED and not timed.is_counted_late:
        if not forwarded.has_time:
            ending = Ending.LATE
    now = time.monotonic()
    candidate.record_end(ending, forwarded.route.name, timed.began, now)
    forwarded.attempts.append(
        AttemptRecord(
            candidate.place.host, _name_outcome(timed.outcome), timed.began, now
        )
    )
    if ending is not Ending.DONE:
        forwarded.tried_hosts.add(candidate.place.host)


def _name_outcome(outcome: Outcome | None) -> str:
    match outcome:
        case None:
            return 'cancelled'
        case Answered(status):
            return str(status)
        case NotRun(refusal) | MayHaveRun(refusal):
            return refusal.value


def _has_reached_upstream(outcome: Outcome) -> bool:
    match outcome:
        case NotRun(reached_upstream=False):
            return False
        case _:
            return True


def _balancer_ending(outcome: Outcome | None) -> Ending:
    match outcome:
        case None:
            return Ending.CANCELLED
        case Answered() if has_succeeded(outcome):
            return Ending.DONE
        case NotRun(Refusal.SHED, False):
            return Ending.REFUSED
        case NotRun(reached_upstream=False):
            return Ending.UNREACHABLE
        case _:
            return Ending.FAILED
