"""Test crowds that take more connections than a process may have."""

import contextlib

from clients.crowdcase import CrowdCase
from clients.site import MAX_SOCKETS, client_site, crowding, run

CONNECTIONS = 500


class DescriptorTest(CrowdCase):
    """Clients open connections and hardly use them."""

    # Guards against clients that leave no descriptor for upstream and store.
    def test_idle_connections_leave_descriptors(self) -> None:
        """Stay below the process's sockets; serve others."""

        async def body() -> None:
            async with client_site() as site:
                address = site.daemon.callers
                async with crowding(address, CONNECTIONS, 'idle') as crowd:
                    await crowd.until_pressed()
                    await site.watched.until_served()
                await self.check(site.watched)

        run(body())

    # Guards against clients whose heads never end and hold descriptors.
    def test_slow_connections_leave_descriptors(self) -> None:
        """Stay below the process's sockets; serve others."""

        async def body() -> None:
            async with client_site() as site:
                address = site.daemon.callers
                async with crowding(address, CONNECTIONS, 'slow heads') as one:
                    await one.until_closed(CONNECTIONS - MAX_SOCKETS)
                    await site.watched.until_served()
                await self.check(site.watched)

        run(body())

    # Guards against a limit of one listener that others don't share.
    def test_idle_connections_on_all_listeners(self) -> None:
        """Stay below the process's sockets in sum; serve others."""

        async def body() -> None:
            async with (
                client_site() as site,
                contextlib.AsyncExitStack() as stack,
            ):
                addresses = site.watched.addresses_by_listener.values()
                share = CONNECTIONS // len(addresses)
                for address in addresses:
                    crowd = await stack.enter_async_context(
                        crowding(address, share, 'idle')
                    )
                    await crowd.until_pressed()
                await site.watched.until_served()
                await self.check(site.watched)

        run(body())
