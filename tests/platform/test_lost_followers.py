"""Many hosts are lost at once, or the store turns them away."""

import asyncio
from unittest import mock

import testtools

from asyncrun import run_async
from dragonflyknot.daemon import storefollowing
from dragonflyknot.daemon.sitehost import SiteHost
from dragonflyknot.stores.rowstore import StoreOut
from sitefleet import SiteFleet, configuration

HOSTS = 12
FIRST_HOSTS = 7
FOLLOWING_S = storefollowing.FOLLOW_AFTER_S + 2
WATCHED_S = 6
WATCH_INTERVAL_S = 0.25


class LostHostsTest(testtools.TestCase):
    """Some host that lives follows the store, whoever is lost."""

    # Guards against a region that nobody follows the store for, as the first
    # seven hosts of twelve are lost at once.
    def test_first_hosts_are_lost_at_once(self) -> None:
        """Follow the store all the time after the loss."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                for host in fleet.hosts_in_order()[:FIRST_HOSTS]:
                    await fleet.lose(host)
                await _check_that_some_follow(self, fleet)
                fleet.store.write('op', 'config', configuration(7, keys=()))
                await fleet.until(lambda: fleet.all_have(7))
                self.assertEqual(401, (await fleet.ask(0)).status)

        run_async(body())

    # Guards against the same where the lost hosts hang, so that connections
    # to them still open.
    def test_first_hosts_hang(self) -> None:
        """Follow the store all the time after the hosts hang."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                for host in fleet.hosts_in_order()[:FIRST_HOSTS]:
                    await fleet.lose(host, hangs=True)
                await _check_that_some_follow(self, fleet)
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(lambda: fleet.all_have(7))

        run_async(body())

    # Guards against the same where hosts are lost one after the other, as
    # each loss puts others first.
    def test_hosts_are_lost_in_series(self) -> None:
        """Put each version in force that comes between the losses."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                for version in range(7, 7 + HOSTS - 2):
                    await fleet.lose(fleet.hosts_in_order()[0])
                    fleet.store.write('op', 'config', configuration(version))
                    await fleet.until(lambda: fleet.all_have(version))  # noqa: B023

        run_async(body())

    # Guards against a region that nobody follows the store for, as the store
    # turns away more hosts than there were standbys.
    def test_all_but_one_are_turned_away(self) -> None:
        """Put a version in force that only the last host can read."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                for host in fleet.hosts_in_order()[:-1]:
                    _turn_away(host)
                # The feeds that wait end, and the next calls are refused.
                fleet.store.forget_history()
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(lambda: fleet.all_have(7))

        run_async(body())


async def _check_that_some_follow(
    case: testtools.TestCase, fleet: SiteFleet
) -> None:
    """Check that hosts follow from the first takeover on."""
    await fleet.until(lambda: _followers(fleet))
    for _look in range(int(WATCHED_S / WATCH_INTERVAL_S)):
        await asyncio.sleep(WATCH_INTERVAL_S)
        case.assertNotEqual(0, _followers(fleet))


def _followers(fleet: SiteFleet) -> int:
    return sum(host.policy.is_following for host in fleet.hosts)


def _turn_away(host: SiteHost) -> None:
    refused = mock.AsyncMock(side_effect=StoreOut('status 503'))
    for name in ('read', 'read_row', 'changes', 'put', 'remove'):
        setattr(host.platform.store, name, refused)
