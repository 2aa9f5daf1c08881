"""Test clients whose request bodies stay short of their end."""

from clients.crowdcase import CrowdCase
from clients.site import client_site, run


class ChunkCrowdTest(CrowdCase):
    """A crowd sends chunked bodies and doesn't end them."""

    # Guards against bodies whose sum passes the memory of the machine.
    def test_large_chunks_stay_within_the_memory(self) -> None:
        """Hold less than the machine has; serve others."""

        async def body() -> None:
            async with client_site() as site:
                await self.press(site.watched, 'large chunks')

        run(body())

    # Guards against an event loop that does nothing but take in tiny chunks.
    def test_tiny_chunks_leave_time_for_others(self) -> None:
        """Serve others beside the crowd and after it."""

        async def body() -> None:
            async with client_site() as site:
                await self.press(site.watched, 'tiny chunks')

        run(body())


class FramingCrowdTest(CrowdCase):
    """A crowd sends framing without end that holds no body."""

    # Guards against the extension of a chunk that is read for ever.
    def test_chunk_extensions_without_end_are_closed(self) -> None:
        """Close each connection."""

        async def body() -> None:
            async with client_site() as site:
                await self.press_until_closed(site.watched, 'chunk extension')

        run(body())

    # Guards against leading zeros of a chunk's size that are read for ever.
    def test_chunk_sizes_without_end_are_closed(self) -> None:
        """Close each connection."""

        async def body() -> None:
            async with client_site() as site:
                await self.press_until_closed(site.watched, 'chunk size')

        run(body())

    # Guards against trailers that are read for ever.
    def test_trailers_without_end_are_closed(self) -> None:
        """Close each connection."""

        async def body() -> None:
            async with client_site() as site:
                await self.press_until_closed(site.watched, 'trailers')

        run(body())
