"""Test clients that send requests ahead and read no answers."""

import asyncio

from clients.crowdcase import CROWD, CrowdCase
from clients.site import ClientSite, client_site, crowding, run
from fakeupstream import Seen, whole

LONG_ANSWER = b'b' * 4_000_000


class RequestsAheadCrowdTest(CrowdCase):
    """A crowd sends many requests on each connection."""

    # Guards against queued requests that hold their heads.
    def test_long_requests_stay_within_the_memory(self) -> None:
        """Hold less than the machine has; serve others."""

        async def body() -> None:
            async with client_site() as site:
                await self.press(site.watched, 'requests ahead')

        run(body())

    # Guards against queued requests without a key and an id.
    def test_requests_without_usual_headers_stay_within_the_memory(
        self,
    ) -> None:
        """Hold less than the machine has; serve others."""

        async def body() -> None:
            async with client_site() as site:
                await self.press(site.watched, 'bare requests ahead')

        run(body())

    # Guards against requests of one connection that leave others no turn.
    def test_small_requests_leave_time_for_others(self) -> None:
        """Serve others beside the crowd and after it."""

        async def body() -> None:
            async with client_site() as site:
                await self.press(site.watched, 'small requests ahead')

        run(body())


class UnreadAnswerCrowdTest(CrowdCase):
    """A crowd asks for long answers and reads none."""

    # Guards against unread answers that add up beyond the memory.
    def test_long_answers_stay_within_the_memory(self) -> None:
        """Hold less than the machine has; serve others."""

        async def body() -> None:
            async with client_site() as site:
                site.upstream.script = _answer_long
                await self.press_unserved(site)
                site.upstream.script = None
                await self.check(site.watched)

        run(body())

    async def press_unserved(self, site: ClientSite) -> None:
        """Let a crowd press; its upstream answers nobody else shortly."""
        address = site.daemon.callers
        async with crowding(address, CROWD, 'long answers') as crowd:
            await crowd.until_pressed()


async def _answer_long(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(whole(seen, LONG_ANSWER))
