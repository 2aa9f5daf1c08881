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
                host = await fleet.start(0, is_announced=False)
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


class SilentStoreTest(testtools.TestCase):
    """The store gives some calls no response, and keeps their connections.

    A call that was left without a response stays so after the store serves
    all others again.
    """

    # Guards against daemons that take up no new configuration, and go on with
    # withdrawn keys, as long as a call waits that was never answered.
    def test_configuration_after_calls_that_got_no_response(self) -> None:
        """Take up a version written after the store serves everybody."""

        async def body() -> None:
            async with SiteFleet(3) as fleet:
                await fleet.until(lambda: _all_follow(fleet))
                fleet.store.switches.silent = True
                fleet.store.write('op', 'config', configuration(2))
                await fleet.until(lambda: fleet.all_have(2))
                # The followers ask for the next change, in vain.
                await asyncio.sleep(0.2)
                fleet.store.switches.silent = False
                fleet.store.write('op', 'config', configuration(3, keys=()))
                await fleet.until(lambda: fleet.all_have(3))
                reply = await fleet.ask(0)
                self.assertEqual(401, reply.status)

        run_async(body())

    # Guards against a host that says that the store answers it while the
    # configuration's table does not.
    def test_host_that_gets_no_configuration_says_so(self) -> None:
        """Report the store as lost until it answers for all tables."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                members = fleet.hosts[0].members
                await fleet.until(lambda: _all_follow(fleet))
                fleet.store.switches.silent_table = 'op'
                await fleet.until(lambda: not members.has_store)
                fleet.store.switches.silent_table = ''
                await fleet.until(lambda: members.has_store)

        run_async(body())


def _all_follow(fleet: SiteFleet) -> bool:
    return all(one.policy.is_following for one in fleet.hosts)


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
