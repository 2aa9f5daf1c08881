"""What knowing the hosts and the configuration costs the store."""

import asyncio
from unittest import mock

import testtools

from asyncrun import run_async
from dragonflyknot.daemon import sitemembers, sitepolicy, storefollowing
from dragonflyknot.daemon.sitehost import SiteHost
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.followers import FOLLOWERS_PER_REGION
from dragonflyknot.stores.rowstore import StoreOut
from sitefleet import SiteFleet, configuration

HOSTS = 8
FEED_WAIT_S = 60.0
SETTLED_S = 1.5
# New hosts learn who precedes them before they follow the feeds.
FOLLOWING_S = storefollowing.FOLLOW_AFTER_S + SETTLED_S + 0.5


class ManyHostsTest(testtools.TestCase):
    """A change at one host does not wake all hosts at the store.

    Feeds wait so long here that no call is made but for a change.
    """

    def setUp(self) -> None:
        """Let feeds wait longer than the test."""
        super().setUp()
        for module in (sitemembers, sitepolicy):
            self.patch(module, 'FEED_WAIT_S', FEED_WAIT_S)

    def test_a_change_wakes_the_followers_only(self) -> None:
        """Reach all hosts with as many calls as there are followers."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                before = len(fleet.store.calls)
                await fleet.announce(3, UpstreamState.DRAINING)
                await fleet.until(lambda: _all_know_that_it_drains(fleet))
                await asyncio.sleep(SETTLED_S)
                calls = fleet.store.calls[before:]
                self.assertEqual(1, calls.count('/rows-tx'))
                self.assertLessEqual(len(calls), 1 + FOLLOWERS_PER_REGION)

        run_async(body())

    # Guards against a fleet in which every host reads each version from the
    # store.
    def test_a_version_wakes_the_followers_only(self) -> None:
        """Put a version in force everywhere by the followers' calls."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                before = len(fleet.store.calls)
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(lambda: fleet.all_have(7))
                await asyncio.sleep(SETTLED_S)
                calls = fleet.store.calls[before:]
                self.assertLessEqual(len(calls), FOLLOWERS_PER_REGION)

        run_async(body())

    # Guards against restarts that each cost the store a dozen calls.
    def test_a_restart_reads_the_hosts_once(self) -> None:
        """Learn the rest from peers, and write nothing that has not changed."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                number = _number_of_one(fleet, is_follower=False)
                await fleet.hosts[number].__aexit__(None, None, None)
                before = len(fleet.store.calls)
                host = await fleet.start(number, is_announced=False)
                await host.members.restored()
                await fleet.announce(number)
                await fleet.until(fleet.all_know)
                await asyncio.sleep(SETTLED_S)
                self.assertEqual(['/rows-get'], fleet.store.calls[before:])
                self.assertEqual(200, (await fleet.ask(number)).status)

        run_async(body())


class LostFollowersTest(testtools.TestCase):
    """Others take over from followers that are lost."""

    # Guards against versions that reach nobody, as those who follow the feed
    # were killed.
    def test_killed_followers(self) -> None:
        """Put a version in force that comes after all followers are killed."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                killed = [one for one in fleet.hosts if _follows(one)]
                for host in killed:
                    await host.__aexit__(None, None, None)
                fleet.hosts = [one for one in fleet.hosts if one not in killed]
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(lambda: fleet.all_have(7))

        run_async(body())

    # Guards against versions that reach nobody, as the store turns away those
    # who follow the feed.
    def test_followers_that_the_store_turns_away(self) -> None:
        """Put a version in force at all hosts, also at those turned away."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                for host in fleet.hosts:
                    if _follows(host):
                        _turn_away(host)
                # The feeds that wait end, and the next calls are refused.
                fleet.store.forget_history()
                await asyncio.sleep(SETTLED_S)
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(lambda: fleet.all_have(7))

        run_async(body())

    # Guards against a host that nobody tells of anything any more.
    def test_host_that_reaches_no_peer(self) -> None:
        """Follow the store where no peer answers."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(FOLLOWING_S)
                number = _number_of_one(fleet, is_follower=False)
                host = fleet.hosts[number]
                for other in fleet.hosts:
                    if other is not host:
                        await other.__aexit__(None, None, None)
                fleet.hosts = [host]
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(lambda: fleet.all_have(7))

        run_async(body())


class SilentHostTest(testtools.TestCase):
    """A host that was only silent for a while stays in use."""

    # Guards against the removal of a live host that did not answer once, long
    # ago: with many hosts, nobody has asked it again since.
    def test_host_that_answers_again(self) -> None:
        """Ask a host once more before it is removed."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                members = fleet.hosts[0].members
                unreached = members.gossip.unreached_since_by_host
                unreached['host-1'] = float('-inf')
                await members.reaper.reap('host-1')
                self.assertIn('host-1', members.view.entries_by_host)
                self.assertIn(('hosts', 'host-1'), fleet.store.rows)
                self.assertEqual({}, unreached)

        run_async(body())


def _follows(host: SiteHost) -> bool:
    return host.policy.is_following


def _number_of_one(fleet: SiteFleet, *, is_follower: bool) -> int:
    return next(
        number
        for number, host in enumerate(fleet.hosts)
        if _follows(host) is is_follower
    )


def _turn_away(host: SiteHost) -> None:
    refused = mock.AsyncMock(side_effect=StoreOut('status 503'))
    for name in ('read', 'read_row', 'changes', 'put', 'remove'):
        setattr(host.platform.store, name, refused)


def _all_know_that_it_drains(fleet: SiteFleet) -> bool:
    return all(
        host.members.view.entries_by_host['host-3'].place.state
        is UpstreamState.DRAINING
        for host in fleet.hosts
    )
