"""Test that a leaving which a host acknowledged outlives all that follows.

The upstream's leave message names no start, as on the users' platform.
"""

import asyncio
import time
from dataclasses import replace

import testtools

from asyncrun import run_async
from dragonflyknot.daemon.sitehost import SiteHost
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.siteview import SiteEntry
from dragonflyknot.decisions.upstreamdepartures import Departure
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage
from dragonflyknot.peers import sitewire
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

REQUESTS = 20
HEALTH_LINE = 'GET /healthz'
DEADLINE_S = 12
# Longer than a health check and a round of gossip take here.
SETTLING_S = 0.3
HEARTBEAT_S = 0.6
CLOCK_STEP_MS = 60_000
# A new process waits some seconds for the store before it goes by peers.
SILENT_CALLS = 6


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
                    await fleet.restart(2)
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
                await fleet.restart(0)
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
                await fleet.restart(0)
                await fleet.until(_IsUsed(fleet, 0))

        run_async(body())

    # Guards against a health check that the start that left answers, over a
    # connection that it still serves.
    def test_health_check_opens_a_connection(self) -> None:
        """Ask the upstream that listens now."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                await fleet.ask()
                upstream.script = _answer_health
                before = upstream.connections
                answer = await fleet.hosts[0].gate.check_health('/healthz')
                self.assertEqual('i-0', answer)
                self.assertEqual(before + 1, upstream.connections)

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


class LostAcknowledgementTest(testtools.TestCase):
    """A host is killed right after it acknowledged a leaving."""

    # Guards against a leaving that only the store and the killed process know
    # of: the next process asks peers while the store is silent.
    def test_peers_know_of_an_acknowledged_leaving(self) -> None:
        """Tell peers before a leaving is acknowledged."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                late = await _leave(fleet, 0)
                fleet.store.switches.silent = True
                known = [
                    one.members.view.entries_by_host['host-0'].departures
                    for one in fleet.hosts[1:]
                ]
                self.assertTrue(all(known), known)
                await fleet.hosts[0].__aexit__(None, None, None)
                host = await fleet.start(0, is_announced=False)
                host.members.merge(_known_entries(fleet.hosts[1]))
                host.members.settle()
                for _ in range(SILENT_CALLS):
                    await host.handle_heartbeat(late)
                self.assertFalse(_IsUsed(fleet, 0)())
                fleet.store.switches.silent = False
                await fleet.until(fleet.all_ready)
                await _check_unused(self, fleet, 0)

        run_async(body())

    # Guards against a daemon that nobody tells anything after a restart beside
    # a silent store, as its upstream is known to be gone.
    def test_restart_beside_a_silent_store(self) -> None:
        """Serve callers by what peers know, and keep the upstream out."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                late = await _leave(fleet, 0)
                fleet.store.switches.silent = True
                host = await fleet.restart(0)
                await host.handle_heartbeat(late)
                await _check_unused(self, fleet, 0)

        run_async(body())

    # Guards against a stored leaving that is overwritten: the next process
    # went by peers that didn't know of it, as the store was silent, and a late
    # heartbeat made the upstream ready.
    def test_row_that_is_read_after_a_late_heartbeat(self) -> None:
        """Take the upstream out of use as soon as the row is read."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                known_before = _own_entry(fleet.hosts[0])
                late = await _leave(fleet, 0)
                fleet.store.switches.silent = True
                await fleet.hosts[0].__aexit__(None, None, None)
                host = await fleet.start(0, is_announced=False)
                host.members.merge([known_before])
                host.members.settle()
                await _acknowledged(host, late)
                self.assertTrue(_IsUsed(fleet, 0)())
                fleet.store.switches.silent = False
                await fleet.until(_HasLeft(fleet, 0))
                await host.members.kept()
                row, _version = fleet.store.rows['hosts', 'host-0']
                stored = sitewire.decode_entry(row)
                assert stored is not None
                self.assertTrue(stored.is_gone)
                self.assertEqual('i-0', stored.departures[0].instance)

        run_async(body())

    # Guards against a row that is written over though it was not as expected,
    # and what it says of a leaving is passed over.
    def test_row_that_another_process_has_written(self) -> None:
        """Apply the row's departures before it is replaced."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                own = _own_entry(fleet.hosts[0])
                fleet.store.switches.held['/rows-feed'] = asyncio.Event()
                left = replace(
                    own, stamp=own.stamp - 1, departures=(Departure('i-0', 1),)
                )
                content = sitewire.encode_entry(left)
                fleet.store.write('hosts', 'host-0', content)
                await fleet.announce(0, slots=12)
                await fleet.until(_HasLeft(fleet, 0))

        run_async(body())

    # Guards against a leaving that a peer knows of, and whose host never
    # hears of it since its own entry has the later stamp.
    def test_departure_that_a_peer_knows(self) -> None:
        """Learn it from the peer."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                peer = fleet.hosts[1]
                known = peer.members.view.entries_by_host['host-0']
                left = replace(known, departures=(Departure('i-0', 1),))
                peer.members.merge([left])
                await fleet.until(_HasLeft(fleet, 0))

        run_async(body())


class _HasLeft:
    """Tell whether the upstream of a host is gone, and its row says so."""

    def __init__(self, fleet: SiteFleet, number: int) -> None:
        self._fleet = fleet
        self._number = number

    def __call__(self) -> bool:
        host = self._fleet.hosts[self._number]
        current = host.register.current
        row, _version = self._fleet.store.rows['hosts', host.settings.host]
        is_gone = current is not None and current.state is UpstreamState.GONE
        return is_gone and b'"gone"' in row


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


async def _acknowledged(host: SiteHost, heartbeat: Heartbeat) -> None:
    """Send a heartbeat again and again until it is acknowledged."""
    async with asyncio.timeout(DEADLINE_S):
        while not await host.handle_heartbeat(heartbeat):  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def _known_entries(host: SiteHost) -> list[SiteEntry]:
    return list(host.members.view.entries_by_host.values())


def _own_entry(host: SiteHost) -> SiteEntry:
    own = host.members.view.own
    assert own is not None
    return own


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


async def _refuse_health(seen: Seen, writer: asyncio.StreamWriter) -> None:
    is_check = HEALTH_LINE in seen.line
    writer.write(whole(seen, status='503 Leaving' if is_check else '200 OK'))


async def _answer_health(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(whole(seen, extra='Instance-Id: i-0\r\n'))


def _unix_ms() -> int:
    return int(time.time() * 1000)
