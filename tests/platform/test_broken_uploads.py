"""Test uploads that are passed on to a host whose connection breaks."""

import asyncio
from contextlib import suppress

import testtools

from asyncrun import run_async
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverrequest import Request
from sitefleet import SiteFleet

# More than the sockets on the way take, so that the sender waits for room.
UPLOAD_BYTES = 40_000_000
PART = bytes(64_000)
HEAD = (
    'POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: upload\r\n'
    'Request-Deadline: 20000\r\nKey: key\r\n'
    f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'
)


class BrokenPeerTest(testtools.TestCase):
    """A host ends while another one passes a long body on to it."""

    # Guards against kept connections of callers that are closed without an
    # answer when the connection to a peer breaks.
    def test_caller_gets_an_answer(self) -> None:
        """Answer with status 502."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(0, UpstreamState.DRAINING)
                fleet.upstreams[1].is_stalled = True
                ip, _colon, port = fleet.settings[0].callers_listen.rpartition(
                    ':'
                )
                reader, writer = await asyncio.open_connection(ip, int(port))
                sending = asyncio.ensure_future(_send(writer))
                await fleet.until(lambda: _waits_for_room(fleet))
                await fleet.hosts[1].__aexit__(None, None, None)
                status_line = await reader.readline()
                self.assertIn(b' 502 ', status_line)
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
                writer.transport.abort()
                await fleet.start(1)

        run_async(body())


class UnexpectedErrorTest(testtools.TestCase):
    """A handler of requests fails in a way that nobody foresaw."""

    # Guards against callers whose connection ends without any answer.
    def test_caller_gets_an_answer(self) -> None:
        """Answer with status 502, which promises nothing."""

        async def fail(request: Request) -> None:
            raise RuntimeError(request.method)

        async def body() -> None:
            async with serving('127.0.0.1', 0, fail) as server:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', server.port
                )
                writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
                status_line = await reader.readline()
                self.assertIn(b' 502 ', status_line)
                writer.close()

        run_async(body())


async def _send(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD.encode())
    with suppress(ConnectionError):
        for _ in range(UPLOAD_BYTES // len(PART)):
            writer.write(PART)
            await writer.drain()


def _waits_for_room(fleet: SiteFleet) -> bool:
    """Tell whether the first host has stopped reading the upload."""
    links = fleet.hosts[0]._callers_server.links
    return any(one._reading_paused for one in links)
