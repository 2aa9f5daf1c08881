"""Send an admitted request to gates, in one or several attempts.

A request that was refused before it ran may be sent to another host. One
that ran, or may have run, is sent again only if its route is idempotent and
allows another upstream, and the fleet's bound on retries is not reached.
The same holds for an attempt that is late while another host has free
slots: it is cancelled. The delay counts against its host at once, not only
when the request times out.
"""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Final

from dragonflyknot.callers.attempttimer import AttemptTimer
from dragonflyknot.callers.siteedgeports import SiteEdgePorts
from dragonflyknot.decisions import balancer, siteconfig
from dragonflyknot.decisions.balancer import Candidate, HostQuery
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.siteretries import RetryClass
from dragonflyknot.exchange import links
from dragonflyknot.exchange.hopheaders import Hop
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
    OutgoingRequest,
)
from dragonflyknot.exchange.serverlink import Request

MAX_SENDS_PER_REQUEST: Final = 6
MAX_RETRY_PAUSE_S: Final = 0.02
MIN_RETRY_LEFT_S: Final = 0.02
MIN_SERVER_ERROR_STATUS: Final = 500


@dataclass(slots=True)
class ForwardedRequest:
    """Track the progress of one request through its attempts.

    `deadline` and `aim_at` are in monotonic seconds. `is_retry` marks a
    call that an upstream makes in a run that was itself a retry.
    `tried_hosts` holds the hosts to leave out and `reached_hosts` those whose
    upstreams received the request. If `only_hosts` is not empty, only its
    hosts may be used. `sends` counts the attempts sent to gates, and `runs`
    those that ran or may have run.
    """

    request: Request
    request_id: str
    route: siteconfig.SiteRoute
    service: str
    workspace: str
    priority: int
    is_call: bool
    is_retry: bool
    deadline: float
    aim_at: float
    outgoing: OutgoingRequest
    tried_hosts: set[str] = field(default_factory=set)
    reached_hosts: set[str] = field(default_factory=set)
    only_hosts: frozenset[str] = frozenset()
    sends: int = 0
    runs: int = 0
    last_host: str = ''

    @property
    def has_time(self) -> bool:
        """Return whether enough time is left for another attempt."""
        return self.deadline - time.monotonic() > MIN_RETRY_LEFT_S

    @property
    def host_query(self) -> HostQuery:
        """Return the requirements for the host of the next attempt."""
        return HostQuery(
            self.service, self.route.name, self.tried_hosts, self.only_hosts
        )

    @property
    def can_resend(self) -> bool:
        """Return whether the body is in memory and can be sent again."""
        return isinstance(self.outgoing.body, bytes)


class RequestRunner:
    """Send requests to gates until one answers."""

    def __init__(self, ports: SiteEdgePorts) -> None:
        """Create a runner on the ports of the daemon."""
        self._ports = ports

    async def run(self, forwarded: ForwardedRequest) -> Answered | Refusal:
        """Return the answer, or the refusal if there is none."""
        try:
            forwarded.outgoing.body = await forwarded.request.body()
        except links.BodyBroken:
            return Refusal.MALFORMED
        self._ports.site_retries.count_request(
            forwarded.service, time.monotonic(), is_retry=forwarded.is_retry
        )
        while True:
            outcome = await self._send(forwarded)
            if outcome is None:
                continue
            if not self._should_send_again(forwarded, outcome):
                return _result_of(forwarded, outcome)
            if forwarded.only_hosts:
                await asyncio.sleep(self._retry_pause_s())

    async def _send(self, forwarded: ForwardedRequest) -> Outcome | None:
        """Return how an attempt ended, None if it was cancelled as late."""
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
        )
        candidate.in_flight += 1
        ending = balancer.Ending.CANCELLED
        timed = _TimedAttempt(forwarded, candidate, now)
        try:
            with AttemptTimer(
                forwarded.request.task,
                ports.balancer.late_after_s(
                    candidate, forwarded.route.name, now
                ),
                lambda: self._handle_late(timed),
            ):
                outcome = await ports.sender.send(
                    candidate, hop, forwarded.outgoing
                )
                ending = _balancer_ending(outcome)
                if _has_reached_upstream(outcome):
                    forwarded.reached_hosts.add(forwarded.last_host)
                return outcome
        finally:
            _record_end(timed, ending)
        return None

    def _handle_late(self, timed: '_TimedAttempt') -> bool:
        """Count a late attempt against its host; return whether to cancel."""
        forwarded = timed.forwarded
        now = time.monotonic()
        waited_s = now - timed.began
        timed.is_counted_late = True
        timed.candidate.record_late(now)
        forwarded.reached_hosts.add(timed.candidate.place.host)
        # Without time for another attempt of the usual length, keep waiting.
        if forwarded.deadline - now < waited_s / balancer.LATE_AFTER_RATIO:
            return False
        tried_hosts = {*forwarded.tried_hosts, timed.candidate.place.host}
        if not self._ports.balancer.has_room(
            forwarded.service, tried_hosts, now
        ):
            return False
        if not self._may_run_again(forwarded):
            return False
        forwarded.runs += 1
        return True

    def _should_send_again(
        self, forwarded: ForwardedRequest, outcome: Outcome
    ) -> bool:
        match outcome:
            case Answered(status):
                return self._may_retry_failure(forwarded, status)
            case NotRun(_refusal, reached_upstream):
                if not reached_upstream:
                    return self._may_try_other_gate(forwarded)
                return self._may_retry_refusal(forwarded)
            case MayHaveRun():
                forwarded.runs += 1
                return self._may_run_again(forwarded)

    def _may_retry_failure(
        self, forwarded: ForwardedRequest, status: int
    ) -> bool:
        """Return whether to retry a failure at another upstream."""
        if status < MIN_SERVER_ERROR_STATUS or forwarded.is_call:
            return False
        forwarded.runs += 1
        # If all hosts fail, the cause is a deeper service, and a retry would
        # fail as well.
        has_healthier = self._ports.balancer.has_healthier(
            forwarded.service, forwarded.tried_hosts, time.monotonic()
        )
        return has_healthier and self._may_run_again(forwarded)

    def _may_try_other_gate(self, forwarded: ForwardedRequest) -> bool:
        """Return whether to try another gate if one did not pass it on."""
        if forwarded.sends >= MAX_SENDS_PER_REQUEST or not forwarded.can_resend:
            return False
        return forwarded.has_time and self._has_other_host(forwarded)

    def _may_retry_refusal(self, forwarded: ForwardedRequest) -> bool:
        """Return whether to retry after an upstream refused to run it."""
        if forwarded.sends >= MAX_SENDS_PER_REQUEST or not forwarded.can_resend:
            return False
        if not forwarded.has_time:
            return False
        if self._may_use_another(forwarded):
            return self._take_retry(forwarded)
        if not self._take_retry(forwarded):
            return False
        # No further upstream is allowed, but those that refused may have
        # free slots by now.
        forwarded.only_hosts = frozenset(forwarded.reached_hosts)
        forwarded.tried_hosts -= forwarded.reached_hosts
        return True

    def _may_run_again(self, forwarded: ForwardedRequest) -> bool:
        if not forwarded.route.idempotent or not forwarded.can_resend:
            return False
        if not forwarded.has_time or not self._may_use_another(forwarded):
            return False
        return self._take_retry(forwarded)

    def _may_use_another(self, forwarded: ForwardedRequest) -> bool:
        if forwarded.only_hosts or not self._has_other_host(forwarded):
            return False
        return len(forwarded.reached_hosts) < forwarded.route.max_attempts

    def _take_retry(self, forwarded: ForwardedRequest) -> bool:
        retry_class = RetryClass.ENTRY_REQUEST
        if self._ports.balancer.is_leaf(forwarded.service):
            retry_class = RetryClass.LEAF_SERVICE
        elif forwarded.is_call:
            retry_class = RetryClass.INNER_CALL
        return self._ports.site_retries.take(
            forwarded.service, time.monotonic(), retry_class, forwarded.priority
        )

    def _retry_pause_s(self) -> float:
        return MAX_RETRY_PAUSE_S * (1 + self._ports.rng.random()) / 2

    def _has_other_host(self, forwarded: ForwardedRequest) -> bool:
        return self._ports.balancer.has_other(forwarded.host_query)


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
    """Track an attempt and whether it was counted as late."""

    forwarded: ForwardedRequest
    candidate: Candidate
    began: float
    is_counted_late: bool = False


def _record_end(timed: _TimedAttempt, ending: balancer.Ending) -> None:
    candidate = timed.candidate
    forwarded = timed.forwarded
    candidate.in_flight -= 1
    if ending is balancer.Ending.CANCELLED and not timed.is_counted_late:
        if not forwarded.has_time:
            ending = balancer.Ending.LATE
    now = time.monotonic()
    candidate.record_end(ending, forwarded.route.name, timed.began, now)
    if ending is not balancer.Ending.DONE:
        forwarded.tried_hosts.add(candidate.place.host)


def _has_reached_upstream(outcome: Outcome) -> bool:
    match outcome:
        case NotRun(reached_upstream=False):
            return False
        case _:
            return True


def _balancer_ending(outcome: Outcome) -> balancer.Ending:
    match outcome:
        case Answered(status) if status < MIN_SERVER_ERROR_STATUS:
            return balancer.Ending.DONE
        case NotRun(Refusal.SHED, False):
            return balancer.Ending.REFUSED
        case NotRun(reached_upstream=False):
            return balancer.Ending.UNREACHABLE
        case _:
            return balancer.Ending.FAILED
