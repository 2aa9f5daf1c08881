"""Test that what a cancelled waiter holds is given back.

asyncio cancels the future that a task awaits at once, but the task itself runs
only in a later step of the event loop. Whatever is granted in between must
not be lost.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import Any, cast

import testtools
from result import Result

from adapter.dialect import DIALECT
from asyncrun import run_async
from dragonflyknot.callers.ports import Claimed
from dragonflyknot.daemon.claims import ClaimPorts, Claims
from dragonflyknot.decisions import admission
from dragonflyknot.decisions.calls import Attempt, Call, UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.upstreammessages import Heartbeat
from dragonflyknot.decisions.upstreamstate import UpstreamRegister
from dragonflyknot.exchange.hopheaders import Hop
from dragonflyknot.exchange.outcomes import OutgoingRequest
from dragonflyknot.stores.embedded import EmbeddedTable
from dragonflyknot.stores.errors import PlatformError
from dragonflyknot.stores.writes import Write
from dragonflyknot.upstreams.admissionqueue import AdmissionQueue
from dragonflyknot.upstreams.sitegate import SiteGate

SLOTS = 6
ATTEMPTS = 4 * SLOTS
PRIORITY = 2


def _hop() -> Hop:
    return Hop('mine', 'w', 'edge', 'r', PRIORITY, 30, 30, False, 1)


def _request(number: int) -> OutgoingRequest:
    return OutgoingRequest('GET', b'/x', [], b'', b'a%d' % number)


async def _never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


async def _until(is_so: Callable[[], bool]) -> None:
    while not is_so():  # noqa: ASYNC110
        await asyncio.sleep(0)


async def _cancel(tasks: list[asyncio.Task[object]]) -> None:
    """Cancel tasks in one step of the event loop, and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class SiteGateTest(testtools.TestCase):
    """Attempts that wait at the gate of a site's host are cancelled."""

    # Guards against slots that stay in use after their attempts were
    # cancelled, which in the end makes the gate refuse everything.
    def test_slots_are_free_after_running_and_waiting_ones_end(self) -> None:
        """Cancel those that run and those that wait at once."""

        async def body() -> None:
            async with AsyncExitStack() as stack:
                gate = await _open_gate(stack)
                tasks = await _fill(gate)
                await _cancel(tasks)
                load = gate.load()
                self.assertEqual((0, 0), (load.running, load.waiting))

        run_async(body())

    # Guards against a slot that a cancelled waiter gets and nobody else can
    # use any more.
    def test_next_waiter_gets_the_slot_of_a_cancelled_one(self) -> None:
        """Cancel a running attempt and the first waiter, not the others."""

        async def body() -> None:
            async with AsyncExitStack() as stack:
                gate = await _open_gate(stack)
                tasks = await _fill(gate)
                await _cancel([tasks[0], tasks[SLOTS]])
                load = gate.load()
                waiting = ATTEMPTS - SLOTS - 2
                self.assertEqual((SLOTS, waiting), (load.running, load.waiting))
                await _cancel(tasks)

        run_async(body())


async def _open_gate(stack: AsyncExitStack) -> SiteGate:
    """Open a gate in front of an upstream that answers nothing."""
    server = await asyncio.start_server(_never_answer, '127.0.0.1', 0)
    await stack.enter_async_context(server)
    address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    register = UpstreamRegister('mine', address)
    gate = stack.enter_context(SiteGate(register, address, DIALECT))
    register.apply_heartbeat(
        Heartbeat('i-1', 'mine', address, 1, 1, UpstreamState.READY, SLOTS)
    )
    gate.apply_announcement()
    return gate


async def _fill(gate: SiteGate) -> list[asyncio.Task[object]]:
    """Start attempts until all slots are in use and others wait."""
    tasks: list[asyncio.Task[object]] = [
        asyncio.ensure_future(gate.run(_hop(), _request(number)))
        for number in range(ATTEMPTS)
    ]
    await _until(lambda: gate.load().waiting == ATTEMPTS - SLOTS)
    return tasks


class AdmissionQueueTest(testtools.TestCase):
    """Attempts that wait at the gate of the own interface are cancelled."""

    # Guards against attempts that count as running after they were cancelled.
    def test_started_and_waiting_attempts_are_cancelled_at_once(self) -> None:
        """Cancel waiters after they have been started, before they run."""

        async def body() -> None:
            gate = admission.Gate(Service('s', ATTEMPTS, queue_wait_ms=30000))
            queue = AdmissionQueue(gate)
            state = UpstreamState.READY
            queue.apply(admission.Announced(SLOTS, UpstreamState.DRAINING))
            queue.apply(admission.Announced(SLOTS, state))
            tasks: list[asyncio.Task[object]] = [
                asyncio.ensure_future(queue.admit(_attempt(number)))
                for number in range(ATTEMPTS)
            ]
            await _until(lambda: queue.report().queued == ATTEMPTS - SLOTS)
            for task in tasks[SLOTS:]:
                task.cancel()
            for number in range(SLOTS):
                queue.apply(admission.Cancelled(f'a{number}'))
            await asyncio.gather(*tasks, return_exceptions=True)
            report = queue.report()
            self.assertEqual((0, 0), (report.running, report.queued))

        run_async(body())


def _attempt(number: int) -> Attempt:
    name = f'a{number}'
    call = Call(name, name, 'w', 's', 5, time.monotonic() + 30)
    return Attempt(name, 'host', 1, call)


class _CancellingTable(EmbeddedTable):
    """Cancel a task between a transaction and the reading of its result."""

    def __init__(self) -> None:
        """Start without a task to cancel."""
        super().__init__()
        self.cancelled: asyncio.Task[object] | None = None

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[None, PlatformError]:
        """Apply the writes, then cancel the task."""
        answer = await super().transact(writes)
        if self.cancelled is not None:
            self.cancelled.cancel()
        return answer


class ClaimsTest(testtools.TestCase):
    """Requests that wait for their claim are cancelled."""

    # Guards against a claim that stays in the table though its request went
    # away before it ran, so that no retry may ever run.
    def test_claim_won_by_a_cancelled_request_is_removed(self) -> None:
        """Cancel a request in the step in which its claim is won."""

        async def body() -> None:
            table = _CancellingTable()
            async with Claims(_claim_ports(table)) as claims:
                deadline = time.monotonic() + 30
                task: asyncio.Task[object] = asyncio.ensure_future(
                    claims.claim('w', 'key', deadline)
                )
                table.cancelled = task
                await asyncio.gather(task, return_exceptions=True)
                self.assertTrue(task.cancelled())
                table.cancelled = None
                await asyncio.sleep(0.05)
                again = await claims.claim('w', 'key', deadline)
                self.assertIsInstance(again, Claimed)

        run_async(body())


def _claim_ports(table: EmbeddedTable) -> ClaimPorts:
    """Return ports without peers, which no claim in the table needs."""
    nobody = cast(Any, None)
    return ClaimPorts('host', 1, 'trial', table, nobody, nobody)
