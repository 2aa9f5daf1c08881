"""Test that a leaving which a host acknowledged outlives all that follows.

The upstream's leave message names no start, as on the users' platform.
"""

import asyncio
import time

import testtools

from asyncrun import run_async
from dragonflyknot.daemon.sitehost import SiteHost
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

REQUESTS = 20
HEALTH_LINE = 'GET /healthz'
DEADLINE_S = 12
# Longer than a health check and a round of gossip take here.
SETTLING_S = 0.3
HEARTBEAT_S = 0.6
CLOCK_STEP_MS = 60_000


class UnknownStartTest(testtools.TestCase):
    """An upstream leaves before its host has heard of its start."""

    # Guards against a late first heartbeat that makes an upstream ready after
    # its deregistration was acknowledged.
    def test_late_heartbeat(self) -> None:
        """Send the upstream nothing."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.add()
                late = await _leave(fleet, 2)
                await fleet.hosts[2].handle_heartbeat(late)
                await _check_unused(self, fleet, 2)

        run_async(body())

    # Guards against the same at the next process, with the store sound: the
    # row has to tell it.
    def test_late_heartbeat_at_the_next_process(self) -> None:
        """Send the upstream nothing, also after a second restart."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.add()
                late = await _leave(fleet, 2)
                for _ in range(2):
                    await _restart(fleet, 2)
                    await fleet.hosts[2].handle_heartbeat(late)
                    await _check_unused(self, fleet, 2)

        run_async(body())

    # Guards against a leaving that is acknowledged though nothing is stored,
    # as another instance was known: a restart forgets it.
    def test_another_instance_was_known(self) -> None:
        """Keep the leaving over a restart."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                fleet.upstreams[0].instance = 'i-next'
                late = await _leave(fleet, 0)
                await _restart(fleet, 0)
                await fleet.hosts[0].handle_heartbeat(late)
                await _check_unused(self, fleet, 0)

        run_async(body())

    # Guards against a later start under a known id that leaves unheard.
    def test_later_start_of_a_known_instance(self) -> None:
        """Send neither start anything."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                late = await _leave(fleet, 0)
                await fleet.hosts[0].handle_heartbeat(late)
                await fleet.announce(0)
                await _check_unused(self, fleet, 0)

        run_async(body())


class NewStartTest(testtools.TestCase):
    """An upstream starts again under the id under which it left."""

    # Guards against a new start that is shut out for good.
    def test_new_start(self) -> None:
        """Use it at its first heartbeat, also at the next process."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await _leave(fleet, 0)
                fleet.upstreams[0].script = _answer_health
                born = _unix_ms() + 1
                start = fleet.heartbeat(0, born=born)
                await fleet.hosts[0].handle_heartbeat(start)
                await fleet.until(_IsUsed(fleet, 0))
                await _restart(fleet, 0)
                await fleet.until(_IsUsed(fleet, 0))

        run_async(body())

    # Guards against a new start that is shut out since the clock was ahead as
    # the leave message arrived.
    def test_new_start_after_a_clock_went_back(self) -> None:
        """Use it after its second heartbeat."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await _leave(fleet, 0)
                fleet.upstreams[0].script = _answer_health
                born = _unix_ms() - CLOCK_STEP_MS
                for _ in range(2):
                    start = fleet.heartbeat(0, born=born)
                    await fleet.hosts[0].handle_heartbeat(start)
                    await asyncio.sleep(HEARTBEAT_S)
                await fleet.until(_IsUsed(fleet, 0))

        run_async(body())

    # Guards against a new start that is shut out while its health check is
    # wrong.
    def test_new_start_whose_health_check_fails(self) -> None:
        """Use it after its second heartbeat."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await _leave(fleet, 0)
                born = _unix_ms() + 1
                for _ in range(2):
                    start = fleet.heartbeat(0, born=born)
                    await fleet.hosts[0].handle_heartbeat(start)
                    await asyncio.sleep(HEARTBEAT_S)
                await fleet.until(_IsUsed(fleet, 0))

        run_async(body())


class _IsUsed:
    """Tell whether a host has an upstream in force that is ready."""

    def __init__(self, fleet: SiteFleet, number: int) -> None:
        self._fleet = fleet
        self._number = number

    def __call__(self) -> bool:
        current = self._fleet.hosts[self._number].register.current
        return current is not None and current.is_ready


async def _leave(fleet: SiteFleet, number: int) -> Heartbeat:
    """Let an upstream leave; return a heartbeat that it had sent before."""
    late = fleet.heartbeat(number, born=_unix_ms() - 100)
    fleet.upstreams[number].script = _refuse_health
    leaving = LeaveMessage(fleet.upstreams[number].instance)
    async with asyncio.timeout(DEADLINE_S):
        host = fleet.hosts[number]
        while not await host.handle_deregistration(leaving):  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    return late


async def _check_unused(
    test: testtools.TestCase, fleet: SiteFleet, number: int
) -> None:
    """Check that requests at all hosts are served by other upstreams."""
    await asyncio.sleep(SETTLING_S)
    fleet.upstreams[number].seen.clear()
    for count in range(REQUESTS):
        reply = await fleet.ask(count % len(fleet.hosts))
        test.assertEqual(200, reply.status)
    lines = [one.line for one in fleet.upstreams[number].seen]
    test.assertEqual([], [one for one in lines if HEALTH_LINE not in one])


async def _restart(fleet: SiteFleet, number: int) -> SiteHost:
    """End the process of a host, and start the next one."""
    await fleet.hosts[number].__aexit__(None, None, None)
    host = await fleet.start(number, is_announced=False)
    await fleet.until(fleet.all_ready)
    return host


async def _refuse_health(seen: Seen, writer: asyncio.StreamWriter) -> None:
    is_check = HEALTH_LINE in seen.line
    writer.write(whole(seen, status='503 Leaving' if is_check else '200 OK'))


async def _answer_health(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(whole(seen, extra='Instance-Id: i-0\r\n'))


def _unix_ms() -> int:
    return int(time.time() * 1000)
