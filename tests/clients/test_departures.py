"""Test clients that leave while the daemon doesn't read what they send."""

import asyncio

import testtools

from clients.site import POLL_S, ClientSite, client_site, crowding, run

CLIENTS = 20


class DepartureTest(testtools.TestCase):
    """Clients leave in the middle of what they send."""

    # Guards against a request that goes on for a client that has left, as its
    # connection is not read.
    def test_upload_to_an_upstream_that_does_not_read(self) -> None:
        """End the request long before its timeout."""

        async def body() -> None:
            async with client_site('600s') as site:
                site.upstream.is_stalled = True
                await _leave(site, 'one upload')

        run(body())

    # Guards against a queue of requests that hides that the client has left.
    def test_requests_ahead(self) -> None:
        """End the requests long before their timeout."""

        async def body() -> None:
            async with client_site('600s') as site:
                site.upstream.is_stalled = True
                await _leave(site, 'requests ahead')

        run(body())

    # Guards against connections that are neither read nor closed after an
    # early answer, and go on counting their bodies.
    def test_early_answers_to_uploads(self) -> None:
        """Hold nothing for clients that have left."""

        async def body() -> None:
            async with client_site('600s') as site:
                idle_bytes = await site.figure('body_bytes')
                site.upstream.answers_early = True
                await _leave(site, 'one length')
                site.upstream.answers_early = False
                await _until_at_most(site, 'body_bytes', idle_bytes)
                await site.watched.until_served()

        run(body())


async def _leave(site: ClientSite, name: str) -> None:
    """Let clients send and leave; wait until nothing is in flight."""
    async with crowding(site.daemon.callers, CLIENTS, name) as crowd:
        await crowd.until_pressed()
    await _until_at_most(site, 'in_flight', 0)


async def _until_at_most(site: ClientSite, name: str, most: float) -> None:
    while await site.figure(name) > most:  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)
