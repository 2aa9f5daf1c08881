"""Machines are lost for good, and others get their addresses."""

import asyncio

import testtools

from asyncrun import run_async
from dragonflyknot.daemon import hostreaper, storefollowing
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.followers import FOLLOWERS_PER_REGION
from dragonflyknot.decisions.hostorder import position_of
from sitefleet import SiteFleet, configuration

HOSTS = 8
FOLLOWING_S = storefollowing.FOLLOW_AFTER_S + 2


class ReusedAddressTest(testtools.TestCase):
    """Whoever answers at an address counts as the host that it names."""

    # Guards against a region that nobody follows the store for, as other
    # machines answer at the addresses of the first ones.
    def test_configuration_after_all_followers_are_replaced(self) -> None:
        """Put a version in force that comes after the replacements."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                for number in _order(fleet)[:FOLLOWERS_PER_REGION]:
                    await fleet.replace(number, _last_name(fleet))
                await asyncio.sleep(FOLLOWING_S)
                fleet.store.write('op', 'config', configuration(7, keys=()))
                await fleet.until(lambda: fleet.all_have(7))
                reply = await fleet.ask(0)
                self.assertEqual(401, reply.status)

        run_async(body())

    # Guards against a lost host whose row stays for good, as the next machine
    # at its address answers for it.
    def test_host_that_another_one_answers_for(self) -> None:
        """Count a host as unreached if another one answers."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                await fleet.replace(1, 'host-new')
                gossip = fleet.hosts[0].members.gossip
                self.assertFalse(await gossip.reaches('host-1'))
                self.assertIn('host-1', gossip.unreached_since_by_host)

        run_async(body())

    # Guards against departures that count as told, though the peer that was
    # meant to answer for this host doesn't live any more.
    def test_departures_that_another_host_heard(self) -> None:
        """Tell departures again if another host answered."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.stop_store()
                leaving = fleet.hosts[0].members
                own = leaving.view.own
                assert own is not None
                await fleet.replace(1, 'host-new')
                message = leaving.gossip._gossip([own])
                peers = [leaving.view.entries_by_host['host-1']]
                self.assertFalse(await leaving.gossip._push_to(peers, message))

        run_async(body())


class ReusedMeterAddressTest(testtools.TestCase):
    """A host that has the address of the lost meter isn't the meter."""

    # Guards against a site that is metered at two hosts, as some ask whoever
    # has the address of a lost meter.
    def test_meter_that_is_replaced(self) -> None:
        """Let all hosts report to the next one in order."""

        async def body() -> None:
            async with SiteFleet(4) as fleet:
                lost, heir, *_others = _order(fleet)
                await fleet.replace(lost, _last_name(fleet))
                rates = fleet.hosts[heir].rates
                # Long before the row of the lost host is removed.
                async with asyncio.timeout(hostreaper.LOST_AFTER_S / 2):
                    await fleet.until(lambda: rates.reporting_hosts == 4)

        run_async(body())


class ReusedGateAddressTest(testtools.TestCase):
    """The load of a gate is that of the host that it names."""

    # Guards against a lost host that stays in use with the load of whoever
    # has its address, and takes attempts that the other one gets too.
    def test_load_of_another_gate(self) -> None:
        """Book no load on a host if another one answers for it."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.replace(1, 'host-new')
                await fleet.announce(0, UpstreamState.DRAINING)
                for _request in range(20):
                    reply = await fleet.ask(0)
                    self.assertEqual(200, reply.status)
                balancer = fleet.hosts[0].balancer
                lost = balancer.candidate('host-1')
                assert lost is not None
                self.assertIsNone(lost.load)

        run_async(body())


def _order(fleet: SiteFleet) -> list[int]:
    """Return the numbers of the hosts in the order that they all derive."""
    return sorted(
        range(len(fleet.hosts)),
        key=lambda number: position_of(fleet.settings[number].host),
    )


def _last_name(fleet: SiteFleet) -> str:
    """Return a new name that comes after those of all hosts in order."""
    last = max(position_of(one.host) for one in fleet.settings)
    names = (f'new-{number}' for number in range(10_000))
    return next(name for name in names if position_of(name) > last)
