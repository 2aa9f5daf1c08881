"""Test the bytes of bodies that a daemon holds for all requests together."""

import asyncio
from contextlib import AsyncExitStack

import testtools

from asyncrun import run_async
from dragonflyknot.exchange import clientmemory, links
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

LIMIT_BYTES = 4 * 1024 * 1024
# What one request may hold beyond the limit, as it was let in below it.
MAX_REQUEST_BYTES = (
    links.MAX_BUFFERED_BODY_BYTES
    + clientmemory.READ_AHEAD_BYTES
    + 2 * links.READ_LIMIT_BYTES
    + 256 * 1024
)
CLIENTS = 40
# More than the sockets between daemon and client take.
BODY = b'b' * 16_000_000
UPLOAD_BYTES = 700_000


class UploadTest(testtools.TestCase):
    """Many clients send long bodies and stop before the end."""

    # Guards against a process that runs out of memory though each of its
    # connections holds a bounded number of bytes.
    def test_uploads_beyond_the_limit_are_refused(self) -> None:
        """Refuse as not run, and serve again when the clients have left."""

        async def body() -> None:
            async with SiteFleet(1, client_memory_bytes=LIMIT_BYTES) as fleet:
                memory = fleet.hosts[0].memory
                async with AsyncExitStack() as stack:
                    clients = [
                        await _client(fleet, stack) for _ in range(CLIENTS)
                    ]
                    for number, (_reader, writer) in enumerate(clients):
                        writer.write(_upload_head(number))
                        writer.write(bytes(UPLOAD_BYTES - 1))
                        await writer.drain()
                    status_line = await _first_line(clients)
                    self.assertIn(b' 503 ', status_line)
                    self.assertLessEqual(
                        memory.held_bytes, LIMIT_BYTES + MAX_REQUEST_BYTES
                    )
                    self.assertEqual([], fleet.upstreams[0].seen)
                await fleet.until(lambda: not memory.held_bytes)
                self.assertEqual(200, (await fleet.ask()).status)

        run_async(body())


class SlowClientTest(testtools.TestCase):
    """Many clients ask for long answers and read none of them."""

    # Guards against answers to slow clients that add up beyond the memory.
    def test_unread_answers_count_until_they_are_read(self) -> None:
        """Refuse beyond the limit; serve again when the clients have left."""

        async def body() -> None:
            async with SiteFleet(1, client_memory_bytes=LIMIT_BYTES) as fleet:
                fleet.upstreams[0].script = _answer_long
                memory = fleet.hosts[0].memory
                async with AsyncExitStack() as stack:
                    for number in range(CLIENTS):
                        _reader, writer = await _client(fleet, stack)
                        writer.write(_head(number, 'GET', 0))
                        await asyncio.sleep(0.01)
                    await fleet.until(lambda: memory.is_full)
                    self.assertLessEqual(
                        memory.held_bytes, LIMIT_BYTES + MAX_REQUEST_BYTES
                    )
                    self.assertEqual(503, (await fleet.ask()).status)
                await fleet.until(lambda: not memory.held_bytes)
                reply = await fleet.ask()
                self.assertEqual((200, BODY), (reply.status, reply.body))

        run_async(body())


async def _answer_long(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(whole(seen, BODY))


async def _client(
    fleet: SiteFleet, stack: AsyncExitStack
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that is aborted at the end."""
    ip, _colon, port = fleet.settings[0].callers_listen.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
    # A writer that nobody refers to closes its connection.
    stack.callback(lambda: writer.transport.abort())
    return reader, writer


async def _first_line(
    clients: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
) -> bytes:
    """Return the first line that any client receives."""
    reading = [asyncio.ensure_future(one.readline()) for one, _ in clients]
    await asyncio.wait(reading, return_when=asyncio.FIRST_COMPLETED)
    lines = [one.result() for one in reading if one.done()]
    for one in reading:
        one.cancel()
    return lines[0]


def _upload_head(number: int) -> bytes:
    return _head(number, 'POST', UPLOAD_BYTES)


def _head(number: int, method: str, length: int) -> bytes:
    path = '/book/x' if method == 'POST' else '/read/x'
    return (
        f'{method} {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: s{number}\r\n'
        f'Request-Deadline: 30000\r\nKey: key\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()
