"""Test that what holds for callers holds on each other listener."""

from clients.crowdcase import CrowdCase
from clients.site import client_site, run


class ListenerTest(CrowdCase):
    """A crowd presses on a listener that is not for callers."""

    # Guards against limits that hold for callers alone.
    def test_peers(self) -> None:
        """Keep the bounds on the listener for peers."""
        run(self._press_all('peers'))

    # Guards against limits that hold for callers alone.
    def test_upstream(self) -> None:
        """Keep the bounds on the listener for announcements."""
        run(self._press_all('upstream'))

    # Guards against limits that hold for callers alone.
    def test_readiness(self) -> None:
        """Keep the bounds on the listener for readiness."""
        run(self._press_all('readiness'))

    # Guards against limits that hold for callers alone.
    def test_operators(self) -> None:
        """Keep the bounds on the listener for operators."""
        run(self._press_all('operators'))

    async def _press_all(self, listener: str) -> None:
        async with client_site() as site:
            await self.press_until_closed(site.watched, 'empty lines', listener)
            await self.press(site.watched, 'long heads', listener)
            await self.press(site.watched, 'large chunks', listener)
            await self.press(site.watched, 'requests ahead', listener)
