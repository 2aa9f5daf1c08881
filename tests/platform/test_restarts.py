"""Test that acknowledgements hold in the next process of a host."""

import asyncio
from typing import Any

import testtools

from asyncrun import run_async
from dragonflyknot.daemon.sitehost import SiteHost
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.upstreammessages import LeaveMessage
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

REQUESTS = 20
BORN = 1
ACKNOWLEDGED_DEADLINE_S = 10


class LeavingTest(testtools.TestCase):
    """A host is restarted right after it acknowledged a leaving."""

    # Guards against an upstream that is used again after its deregistration
    # was acknowledged, as a late heartbeat meets the next process.
    def test_late_heartbeat_after_a_deregistration(self) -> None:
        """Send the upstream nothing."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                late = fleet.heartbeat(0)
                leaving = LeaveMessage('i-0', BORN)
                host = fleet.hosts[0]
                self.assertTrue(await host.handle_deregistration(leaving))
                host = await fleet.restart(0)
                await host.handle_heartbeat(late)
                await self._check_unused(fleet)

        run_async(body())

    # Guards against a draining upstream that is used again.
    def test_late_heartbeat_after_a_drain(self) -> None:
        """Send the upstream nothing."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                late = fleet.heartbeat(0)
                await fleet.announce(0, UpstreamState.DRAINING)
                host = await fleet.restart(0)
                await host.handle_heartbeat(late)
                await self._check_unused(fleet)

        run_async(body())

    # Guards against a leaving that only the process knows that acknowledged
    # it, as it had not received any heartbeat before.
    def test_deregistration_at_a_process_that_knew_no_upstream(self) -> None:
        """Keep the leaving over two restarts."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                late = fleet.heartbeat(0)
                fleet.upstreams[0].script = _refuse_health
                host = await fleet.restart(0)
                leaving = LeaveMessage('i-0', BORN)
                self.assertTrue(await host.handle_deregistration(leaving))
                host = await fleet.restart(0)
                await host.handle_heartbeat(late)
                await self._check_unused(fleet)

        run_async(body())

    # Guards against an older instance that is used again, as the next one
    # that had taken its place is unknown after the restart.
    def test_deregistration_of_an_instance_that_never_announced_itself(
        self,
    ) -> None:
        """Keep out an instance that was only heard to leave."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                fleet.upstreams[0].instance = 'i-new'
                leaving = LeaveMessage('i-new', BORN + 1)
                host = fleet.hosts[0]
                self.assertTrue(await host.handle_deregistration(leaving))
                host = await fleet.restart(0)
                await fleet.announce(0)
                await self._check_unused(fleet)

        run_async(body())

    # Guards against a write of an earlier state that the store performs after
    # the later one, which was acknowledged.
    def test_late_write_of_an_earlier_state(self) -> None:
        """Keep the row of the leaving upstream."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                late = fleet.heartbeat(0)
                ready = _writes_of(fleet, 'host-0')[0]
                await fleet.announce(0, UpstreamState.DRAINING)
                fleet.store.perform(ready)
                host = await fleet.restart(0)
                await host.handle_heartbeat(late)
                await self._check_unused(fleet)

        run_async(body())

    async def _check_unused(self, fleet: SiteFleet) -> None:
        """Check that requests at both hosts are served by the other one."""
        fleet.upstreams[0].seen.clear()
        for number in range(REQUESTS):
            reply = await fleet.ask(number % 2)
            self.assertEqual(200, reply.status)
        self.assertEqual([], fleet.upstreams[0].seen)


class StoreAwayTest(testtools.TestCase):
    """An upstream leaves while the store does not answer."""

    # Guards against acknowledgements that are lost with the process.
    def test_leaving_is_acknowledged_after_it_is_stored(self) -> None:
        """Refuse to acknowledge, also a repeated call; send nothing more."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                host = fleet.hosts[0]
                leaving = LeaveMessage('i-0', BORN)
                await fleet.stop_store()
                for _call in range(2):
                    acknowledged = await host.handle_deregistration(leaving)
                    self.assertFalse(acknowledged)
                self.assertIs(UpstreamState.GONE, host.load().state)
                await fleet.start_store()
                await _acknowledged(host, leaving)
                row, _version = fleet.store.rows['hosts', 'host-0']
                self.assertIn(b'"gone"', row)

        run_async(body())

    def test_drain_is_acknowledged_after_it_is_stored(self) -> None:
        """Refuse to acknowledge a drain and its repetitions."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                await fleet.stop_store()
                for _call in range(2):
                    drain = fleet.heartbeat(0, UpstreamState.DRAINING)
                    self.assertFalse(await host.handle_heartbeat(drain))
                self.assertIs(UpstreamState.DRAINING, host.load().state)

        run_async(body())


def _writes_of(fleet: SiteFleet, key: str) -> list[dict[str, Any]]:
    """Return the transactions that wrote a row."""
    return [
        one
        for one in fleet.store.transactions
        if key in {row['key'] for row in one['set_keys']}
    ]


async def _acknowledged(host: SiteHost, leaving: LeaveMessage) -> None:
    """Deregister an upstream again and again until it is acknowledged."""
    async with asyncio.timeout(ACKNOWLEDGED_DEADLINE_S):
        while not await host.handle_deregistration(leaving):  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def _refuse_health(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(whole(seen, status='503 Leaving'))
