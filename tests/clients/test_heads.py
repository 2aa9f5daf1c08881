"""Test clients whose request heads are long, slow or without end."""

from clients.crowdcase import CrowdCase
from clients.site import client_site, run


class HeadCrowdTest(CrowdCase):
    """A crowd sends heads that never end."""

    # Guards against heads whose lines are bounded but not their sum.
    def test_long_heads_stay_within_the_memory(self) -> None:
        """Hold less than the machine has; serve others."""

        async def body() -> None:
            async with client_site() as site:
                await self.press(site.watched, 'long heads')

        run(body())

    # Guards against header lines that are read and parsed for ever.
    def test_header_lines_without_end_are_closed(self) -> None:
        """Close each connection."""

        async def body() -> None:
            async with client_site() as site:
                await self.press_until_closed(site.watched, 'header lines')

        run(body())

    # Guards against empty lines before a request that are read for ever.
    def test_empty_lines_without_end_are_closed(self) -> None:
        """Close each connection."""

        async def body() -> None:
            async with client_site() as site:
                await self.press_until_closed(site.watched, 'empty lines')

        run(body())

    # Guards against single bytes that put off the timeout of a head.
    def test_slow_heads_are_closed(self) -> None:
        """Close each connection whose head takes too long."""

        async def body() -> None:
            async with client_site() as site:
                await self.press_until_closed(site.watched, 'slow heads')

        run(body())
