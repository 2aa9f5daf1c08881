"""What membership costs the store."""

import asyncio

import testtools

from asyncrun import run_async
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.followers import FOLLOWERS_PER_REGION
from sitefleet import SiteFleet

HOSTS = 8
SETTLED_S = 1.5


class ManyHostsTest(testtools.TestCase):
    """A change at one host does not wake all hosts at the store."""

    def test_a_change_wakes_the_followers_only(self) -> None:
        """Reach all hosts with as many calls as there are followers."""

        async def body() -> None:
            async with SiteFleet(HOSTS) as fleet:
                await asyncio.sleep(SETTLED_S)
                before = len(fleet.store.calls)
                await fleet.announce(3, UpstreamState.DRAINING)
                await fleet.until(lambda: _all_know_that_it_drains(fleet))
                await asyncio.sleep(SETTLED_S)
                calls = fleet.store.calls[before:]
                self.assertEqual(1, calls.count('/rows-tx'))
                # The host that wrote reads the table once more.
                self.assertLessEqual(len(calls), 1 + FOLLOWERS_PER_REGION + 1)

        run_async(body())


def _all_know_that_it_drains(fleet: SiteFleet) -> bool:
    return all(
        host.members.view.entries_by_host['host-3'].place.state
        is UpstreamState.DRAINING
        for host in fleet.hosts
    )
