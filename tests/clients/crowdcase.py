"""What holds whatever a crowd of clients sends."""

import testtools

from clients.site import MAX_SOCKETS, Watched, crowding

CROWD = 200


class CrowdCase(testtools.TestCase):
    """Check a daemon while a crowd presses and after it has left."""

    async def press(
        self, daemon: Watched, name: str, listener: str = 'callers'
    ) -> None:
        """Check that an ordinary caller is served beside the crowd."""
        address = daemon.addresses_by_listener[listener]
        async with crowding(address, CROWD, name) as crowd:
            await crowd.until_pressed()
            await daemon.until_served()
        await self.check(daemon)

    async def press_until_closed(
        self, daemon: Watched, name: str, listener: str = 'callers'
    ) -> None:
        """Check that all clients of a crowd are closed."""
        address = daemon.addresses_by_listener[listener]
        async with crowding(address, CROWD, name) as crowd:
            await crowd.until_closed(CROWD)
            await daemon.until_served()
        await self.check(daemon)

    async def check(self, daemon: Watched) -> None:
        """Check the bounds, and that an ordinary caller is served."""
        await daemon.until_served()
        daemon.watch_once()
        self.assertLessEqual(daemon.most_bytes, daemon.memory_bytes)
        self.assertLessEqual(daemon.most_sockets, MAX_SOCKETS)
