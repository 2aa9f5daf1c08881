"""Run attempts at the upstream of this host.

`SiteGate` is the only path to the upstream. Its slot queue starts, queues
or refuses an attempt. It checks that the upstream still accepts work, and
returns only complete answers that belong to the attempt.
"""

import asyncio
import time
from contextlib import suppress
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Load
from dragonflyknot.decisions.origins import Origin, RunningRequests
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.slotqueue import SlotDecision, SlotQueue, Waiter
from dragonflyknot.decisions.upstreamstate import Upstream, UpstreamRegister
from dragonflyknot.exchange import links
from dragonflyknot.exchange.clientlink import (
    ClientLink,
    LinkLost,
    read_body,
)
from dragonflyknot.exchange.dialect import Dialect
from dragonflyknot.exchange.hopheaders import MS_PER_SECOND, Hop
from dragonflyknot.exchange.linkpool import LinkPool
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
    OutgoingRequest,
)
from dragonflyknot.upstreams.answerreading import (
    MAX_LINK_IDLE_S,
    AnswerReader,
)

# Longest idle time of a link for an unsafe request, which can't be repeated
# if the upstream has closed the link.
MAX_IDLE_FOR_UNSAFE_S: Final = 0.3
SILENCE_TIMEOUT_MS: Final = 4000
CONNECT_TIMEOUT_S: Final = 0.5
UNREACHABLE_BACKOFF_S: Final = 0.3
# Part of its remaining time that a call may wait for a slot.
MAX_CALL_WAIT_SHARE: Final = 0.4
USABLE_SHARE: Final = 0.94
MIN_RESERVING_SLOTS: Final = 8


class SiteGate:
    """Run attempts at one upstream; a context manager that closes links."""

    def __init__(
        self, register: UpstreamRegister, address: str, dialect: Dialect
    ) -> None:
        """Create a gate for the upstream at `address` (IP:port)."""
        host, _colon, port = address.rpartition(':')
        self._pool = LinkPool(
            host,
            int(port),
            idle_s=MAX_LINK_IDLE_S,
            user_timeout_ms=SILENCE_TIMEOUT_MS,
        )
        self._register = register
        self._dialect = dialect
        self._answers = AnswerReader(dialect, self._pool)
        self._queue = SlotQueue()
        self._running = RunningRequests()
        self._decisions_by_attempt: dict[int, asyncio.Future[SlotDecision]] = {}
        self._attempt_count = 0
        self._unreachable_until = float(0)
        self.in_flight = 0
        self.is_refusing = False

    def __enter__(self) -> 'SiteGate':
        """Start without links."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Close the links."""
        self._pool.close()

    def apply_announcement(self) -> None:
        """Apply a change of the upstream's announcement."""
        upstream = self._register.current
        self._queue.slots = (
            0 if upstream is None else _usable_slots(upstream.slots)
        )
        self._unreachable_until = 0
        if upstream is None or upstream.state is not UpstreamState.READY:
            self._refuse_waiters()
        self._start_waiters()

    def load(self) -> Load:
        """Return the load to report to other daemons."""
        upstream = self._register.current
        state = UpstreamState.GONE if upstream is None else upstream.state
        if self.is_refusing:
            state = UpstreamState.DRAINING
        elif self._unreachable_until > time.monotonic():
            state = UpstreamState.STARTING
        return Load(
            state,
            self._queue.slots,
            self._queue.running,
            self._queue.waiting,
            self._running.makes_calls(time.monotonic()),
        )

    def origin_of(self, request_id: bytes) -> Origin | None:
        """Return the request that a call serves, None if it is not a call."""
        return self._running.origin_of(request_id, time.monotonic())

    async def run(self, hop: Hop, outgoing: OutgoingRequest) -> Outcome:
        """Run an attempt; cancellation aborts its link to the upstream."""
        refusal = (
            Refusal.DRAINING if self.is_refusing else self._refusal_for(hop)
        )
        if refusal is not None:
            return NotRun(refusal)
        self.in_flight += 1
        try:
            return await self._run(hop, outgoing)
        finally:
            self.in_flight -= 1

    async def check_health(self, path: str) -> str | None:
        """Return the instance that answers a health check, or None.

        An instance that is leaving does not answer with status 200. The check
        opens a link: an earlier start may still serve an idle one.
        """
        head = b'GET %b HTTP/1.1\r\nHost: health\r\n\r\n' % path.encode()
        check = OutgoingRequest('GET', path.encode(), [], b'', b'')
        try:
            link = await self._pool.acquire(CONNECT_TIMEOUT_S, max_idle_s=0)
        except LinkLost:
            return None
        try:
            async with asyncio.timeout(1):
                link.send(head, is_head=False)
                answer = await self._answers.receive(link, check)
                await read_body(answer)
        except (LinkLost, TimeoutError, links.BodyBroken):
            link.abort()
            return None
        self._pool.release(link)
        name = self._dialect.running_instance.lower()
        instance = answer.head.get(name)
        if answer.status != 200 or instance is None:
            return None
        return instance.decode('latin-1')

    async def _run(self, hop: Hop, outgoing: OutgoingRequest) -> Outcome:
        if not hop.may_wait and not self._queue.has_free_slot:
            return NotRun(Refusal.SHED)
        now = time.monotonic()
        deadline = now + hop.left_s
        self._attempt_count += 1
        waiter = Waiter(
            self._attempt_count,
            hop.workspace,
            hop.priority,
            self._latest_start(hop, now),
            hop.route,
        )
        if not await self._wait_for_slot(waiter, now):
            return NotRun(self._refusal_for(hop) or Refusal.SHED)
        outcome: Outcome | None = None
        try:
            outcome = await self._run_in_slot(hop, outgoing, deadline)
            return outcome
        finally:
            self._queue.finish(
                waiter,
                time.monotonic(),
                is_sample=isinstance(outcome, Answered),
            )
            self._start_waiters()

    async def _run_in_slot(
        self, hop: Hop, outgoing: OutgoingRequest, deadline: float
    ) -> Outcome:
        refusal = self._refusal_for(hop)
        upstream = self._register.current
        if refusal is not None or upstream is None:
            return NotRun(refusal or Refusal.NO_UPSTREAM)
        origin = Origin(hop.priority, hop.workspace, hop.is_retry)
        self._running.begin(outgoing.request_id, origin)
        try:
            return await self._exchange(hop, outgoing, upstream, deadline)
        finally:
            self._running.end(outgoing.request_id)

    def _refusal_for(self, hop: Hop) -> Refusal | None:
        upstream = self._register.current
        if upstream is None or self._unreachable_until > time.monotonic():
            return Refusal.NO_UPSTREAM
        if upstream.state is UpstreamState.DRAINING:
            return Refusal.DRAINING
        if upstream.state is not UpstreamState.READY:
            return Refusal.NO_UPSTREAM
        if not self._register.serves(hop.service):
            return Refusal.WRONG_INCARNATION
        return None

    def _latest_start(self, hop: Hop, now: float) -> float:
        service_time_s = self._queue.service_time_s(hop.route)
        latest_s = hop.left_s - service_time_s
        if hop.is_call:
            # The request that makes this call needs time for further calls.
            latest_s = min(latest_s, hop.left_s * MAX_CALL_WAIT_SHARE)
        else:
            # An answer after `target_left_s` is worth less than that of a
            # newer request.
            latest_s = min(
                latest_s,
                max(hop.target_left_s - service_time_s, hop.target_left_s / 4),
            )
        return now + max(0, latest_s)

    async def _wait_for_slot(self, waiter: Waiter, now: float) -> bool:
        decision = self._queue.arrive(waiter, now)
        if decision is not SlotDecision.WAIT:
            return decision is SlotDecision.START
        loop = asyncio.get_running_loop()
        future: asyncio.Future[SlotDecision] = loop.create_future()
        self._decisions_by_attempt[waiter.attempt] = future
        timer = loop.call_later(
            waiter.start_by - now, self._on_start_timeout, waiter
        )
        try:
            return await future is SlotDecision.START
        except asyncio.CancelledError:
            self._queue.withdraw(waiter, time.monotonic())
            self._start_waiters()
            raise
        finally:
            timer.cancel()
            self._decisions_by_attempt.pop(waiter.attempt, None)

    def _on_start_timeout(self, waiter: Waiter) -> None:
        self._queue.cancel(waiter)
        self._wake(waiter, SlotDecision.REFUSE)

    def _refuse_waiters(self) -> None:
        for future in self._decisions_by_attempt.values():
            if not future.done():
                future.set_result(SlotDecision.REFUSE)
        self._queue.clear()

    def _start_waiters(self) -> None:
        now = time.monotonic()
        while (waiter_and_decision := self._queue.next(now)) is not None:
            self._wake(*waiter_and_decision)

    def _wake(self, waiter: Waiter, decision: SlotDecision) -> None:
        future = self._decisions_by_attempt.get(waiter.attempt)
        if future is not None and not future.done():
            future.set_result(decision)

    async def _exchange(
        self,
        hop: Hop,
        outgoing: OutgoingRequest,
        upstream: Upstream,
        deadline: float,
    ) -> Outcome:
        try:
            link = await self._pool.acquire(
                CONNECT_TIMEOUT_S,
                None if outgoing.is_safe else MAX_IDLE_FOR_UNSAFE_S,
                outgoing.request_id,
            )
        except LinkLost:
            self._unreachable_until = time.monotonic() + UNREACHABLE_BACKOFF_S
            return NotRun(Refusal.NO_UPSTREAM)
        try:
            return await self._exchange_on_link(
                link, hop, outgoing, upstream, deadline
            )
        except LinkLost as lost:
            link.abort()
            if lost.was_sent:
                self._pool.report_lost(link)
                return MayHaveRun(Refusal.UPSTREAM_BROKE)
            return NotRun(Refusal.NO_UPSTREAM)
        except links.BodyBroken:
            link.abort()
            return MayHaveRun(Refusal.UPSTREAM_BROKE)
        except BaseException:
            link.abort()
            raise

    async def _exchange_on_link(
        self,
        link: ClientLink,
        hop: Hop,
        outgoing: OutgoingRequest,
        upstream: Upstream,
        deadline: float,
    ) -> Outcome:
        head = self._request_head(hop, outgoing, upstream, deadline)
        is_head = outgoing.method == 'HEAD'
        if isinstance(outgoing.body, bytes):
            link.send(head + outgoing.body, is_head=is_head)
            answer = await self._answers.receive(link, outgoing)
            return await self._answers.outcome_of(link, answer, outgoing)
        link.send(head, is_head=is_head)
        return await self._exchange_long_body(link, outgoing, outgoing.body)

    async def _exchange_long_body(
        self,
        link: ClientLink,
        outgoing: OutgoingRequest,
        body: links.StreamedBody,
    ) -> Outcome:
        sending = asyncio.ensure_future(_send_body(link, body))
        try:
            answer = await self._answers.receive(link, outgoing)
            if not sending.done():
                # The rest of the body must not be parsed as a new request.
                link.mark_unusable()
            return await self._answers.outcome_of(link, answer, outgoing)
        finally:
            sending.cancel()

    def _request_head(
        self,
        hop: Hop,
        outgoing: OutgoingRequest,
        upstream: Upstream,
        deadline: float,
    ) -> bytes:
        names = self._dialect
        left_ms = max(1, int((deadline - time.monotonic()) * MS_PER_SECOND))
        parts = [
            b'%b %b HTTP/1.1\r\n' % (outgoing.method.encode(), outgoing.target),
            *outgoing.lines,
            b'%b: %d\r\n' % (names.deadline_ms, left_ms),
            b'%b: %b\r\n' % (names.instance, upstream.instance.encode()),
            b'%b: %b\r\n' % (names.caller, hop.caller.encode()),
        ]
        if hop.workspace and not hop.is_call:
            parts.append(
                b'%b: %b\r\n' % (names.workspace, hop.workspace.encode())
            )
        parts.append(outgoing.framing())
        return b''.join(parts)


async def _send_body(link: ClientLink, body: links.StreamedBody) -> None:
    """Send a body; who waits for the answer learns that the link is lost."""
    with suppress(LinkLost):
        await link.send_body(body, is_chunked=True)


def _usable_slots(slots: int) -> int:
    """Return the slots to fill; upstreams slow down when nearly full."""
    return slots if slots < MIN_RESERVING_SLOTS else int(slots * USABLE_SHARE)
