"""A site whose store is away, or turns one host away."""

import asyncio

import testtools

from adapter.storeclient import StoreClient
from asyncrun import run_async
from dragonflyknot.decisions.siteretries import RetryClass
from dragonflyknot.stores.rowstore import Snapshot, StoreOut, StoreVersion
from sitefleet import SiteFleet, configuration


class StoreOutageTest(testtools.TestCase):
    """Requests, configurations and members get by without the store."""

    def test_restart_while_the_store_is_away(self) -> None:
        """Learn the configuration and the members from peers."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                await fleet.stop_store()
                await fleet.hosts[0].__aexit__(None, None, None)
                await fleet.start(0)
                await fleet.until(fleet.all_know)
                reply = await fleet.ask(0)
                self.assertEqual(200, reply.status)

        run_async(body())

    # Guards against a new process that takes the parts of all hosts.
    def test_retries_of_a_host_that_knows_no_other(self) -> None:
        """Allow the fewest retries until the other hosts are known."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                await fleet.stop_store()
                await fleet.hosts[0].__aexit__(None, None, None)
                host = await fleet.start(0)
                self.assertFalse(host.members.is_settled)
                taken = [
                    host.site_retries.take(
                        'mine', 0, RetryClass.LEAF_SERVICE, 0
                    )
                    for _retry in range(20)
                ]
                self.assertEqual(1, sum(taken))

        run_async(body())

    def test_configuration_reaches_a_host_that_is_turned_away(self) -> None:
        """Hear of a withdrawn key from peers, without a request."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                away = fleet.hosts[0]
                away.policy._follower._store = _Away('127.0.0.1:1')
                await asyncio.sleep(0)
                fleet.store.write('op', 'config', configuration(7, keys=()))
                await fleet.until(
                    lambda: all(one.policy.version == 7 for one in fleet.hosts)
                )
                await fleet.until(lambda: away.policy.is_current)
                reply = await fleet.ask(0)
                self.assertEqual(401, reply.status)

        run_async(body())

    def test_lower_version_is_never_installed(self) -> None:
        """Keep the version in force whatever the store holds later."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                fleet.store.write('op', 'config', configuration(5))
                await fleet.until(lambda: host.policy.version == 5)
                self.assertFalse(host.policy.apply_content(configuration(4)))
                self.assertEqual(5, host.policy.version)

        run_async(body())


class _Away(StoreClient):
    """Stand for a store that turns a host away."""

    async def read(self, table: str) -> Snapshot:
        """Refuse."""
        raise StoreOut(f'status 503 for {table}')

    async def changes(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Snapshot:
        """Refuse."""
        raise StoreOut(f'status 503 for {table} after {after} in {wait_s}')
