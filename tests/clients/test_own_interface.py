"""Test that what holds on the users' platform holds on the own interface."""

from clients.crowdcase import CrowdCase
from clients.ownsite import own_site
from clients.site import crowding, run

CONNECTIONS = 500


class OwnInterfaceTest(CrowdCase):
    """A crowd presses on a listener of the project's own interface."""

    # Guards against limits that hold on the users' platform alone.
    def test_callers(self) -> None:
        """Keep the bounds on the listener for callers."""
        run(self._press_all('callers'))

    # Guards against limits that hold on the users' platform alone.
    def test_upstream(self) -> None:
        """Keep the bounds on the listener for the upstream."""
        run(self._press_all('upstream'))

    # Guards against limits that hold on the users' platform alone.
    def test_requests_of_peers(self) -> None:
        """Keep the bounds on the listener for forwarded requests."""
        run(self._press_all('requests'))

    # Guards against limits that hold on the users' platform alone.
    def test_operators(self) -> None:
        """Keep the bounds on the listener for operators."""
        run(self._press_all('operators'))

    # Guards against clients that leave no descriptor for upstream and store.
    def test_idle_connections_leave_descriptors(self) -> None:
        """Stay below the process's sockets; serve others."""

        async def body() -> None:
            async with own_site() as daemon:
                address = daemon.addresses_by_listener['callers']
                async with crowding(address, CONNECTIONS, 'idle') as crowd:
                    await crowd.until_pressed()
                    await daemon.until_served()
                await self.check(daemon)

        run(body())

    async def _press_all(self, listener: str) -> None:
        async with own_site() as daemon:
            await self.press_until_closed(daemon, 'empty lines', listener)
            await self.press_until_closed(daemon, 'slow heads', listener)
            await self.press(daemon, 'long heads', listener)
            await self.press(daemon, 'large chunks', listener)
            await self.press(daemon, 'tiny chunks', listener)
            await self.press(daemon, 'requests ahead', listener)
