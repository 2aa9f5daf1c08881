"""Test links whose peer sends messages without end.

What a link parses ahead takes many times the memory of the bytes received.
"""

import asyncio
from contextlib import suppress
from typing import Any
from unittest import mock

import testtools
from aiohttp.streams import DataQueue

from asyncrun import run_async
from dragonflyknot.exchange import clientlink, links, serverlink
from dragonflyknot.exchange.clientlink import ClientLink
from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverrequest import Request
from dragonflyknot.exchange.sessions import relay_session

RECEIVED_BYTES = 256 * 1024
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
ANSWERS = ANSWER * (RECEIVED_BYTES // len(ANSWER))
REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
REQUESTS = RECEIVED_BYTES // len(REQUEST)


class ClientLinkTest(testtools.TestCase):
    """A server sends complete answers back to back."""

    # Guards against a process that runs out of memory, as all answers in the
    # received bytes are parsed before the first one is judged.
    def test_answers_behind_the_first_are_dropped(self) -> None:
        """Return the first answer; hold few others, and no link for reuse."""

        async def body() -> None:
            link = _open_link()
            link.data_received(ANSWERS)
            in_one_part = links.PARSED_BYTES // len(ANSWER)
            most = links.MAX_QUEUED_RESPONSES + in_one_part
            self.assertLessEqual(len(link._responses), most)
            answer = await link.receive()
            self.assertEqual(200, answer.status)
            self.assertEqual(b'ok', await clientlink.read_body(answer))
            self.assertFalse(link.is_reusable)

        run_async(body())

    def test_long_body_is_whole(self) -> None:
        """Keep all bytes of a body that arrives in one piece."""

        async def body() -> None:
            link = _open_link()
            content = bytes(range(256)) * 1000
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
            link.data_received(head % len(content) + content)
            answer = await link.receive()
            self.assertEqual(content, await clientlink.read_body(answer))
            self.assertTrue(link.is_reusable)

        run_async(body())


class RelaySessionTest(testtools.TestCase):
    """An upstream of the project's own interface sends answers without end."""

    # Guards against a process that runs out of memory over the answers that
    # follow the one that was asked for.
    def test_answers_behind_the_first_are_dropped(self) -> None:
        """Return the first answer and parse a bounded number of others."""
        queued: list[object] = []
        feed_data = DataQueue.feed_data

        def count(queue: DataQueue[Any], message: Any, size: int = 0) -> None:
            queued.append(message)
            feed_data(queue, message, size)

        async def body() -> None:
            server = await asyncio.start_server(
                _answer_without_end, '127.0.0.1', 0
            )
            port = server.sockets[0].getsockname()[1]
            async with server, relay_session() as session:
                url = f'http://127.0.0.1:{port}/x'
                async with session.get(url) as answer:
                    self.assertEqual(200, answer.status)
                    self.assertEqual(b'ok', await answer.read())

        with mock.patch.object(DataQueue, 'feed_data', count):
            run_async(body())
        in_one_part = links.PARSED_BYTES // len(ANSWER) + 1
        most = links.MAX_QUEUED_RESPONSES + in_one_part
        self.assertLessEqual(len(queued), most)


async def _answer_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    with suppress(ConnectionError):
        while True:
            writer.write(ANSWERS)
            await writer.drain()
    writer.close()


class ServerLinkTest(testtools.TestCase):
    """A client sends requests without waiting for answers."""

    # Guards against requests of one connection that are collected without
    # bound while the first one is served.
    def test_connection_ends_after_a_bounded_number(self) -> None:
        """Serve the first requests, announce the end and close."""

        async def body() -> None:
            served: list[Request] = []

            async def serve(request: Request) -> None:
                served.append(request)
                await asyncio.sleep(0)
                request.respond(200, (), b'ok')

            async with serving('127.0.0.1', 0, serve) as server:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', server.port
                )
                writer.write(REQUEST * REQUESTS)
                answers = await _read_to_the_end(reader)
                writer.close()
            most = serverlink.MAX_PIPELINED_REQUESTS
            self.assertLessEqual(len(served), REQUESTS // 10)
            self.assertGreaterEqual(len(served), most)
            self.assertEqual(len(served), answers.count(b'HTTP/1.1 200'))
            self.assertEqual(1, answers.count(b'Connection: close'))

        run_async(body())


def _open_link() -> ClientLink:
    """Return a link that waits for an answer, on no connection."""
    link = ClientLink(1000)
    transport = mock.Mock()
    transport.is_closing.return_value = False
    link.transport = transport
    link.send(b'', is_head=False)
    return link


async def _read_to_the_end(reader: asyncio.StreamReader) -> bytes:
    """Return what arrives until the connection is closed or reset."""
    received = bytearray()
    try:
        while part := await reader.read(65536):
            received += part
    except ConnectionError:
        return bytes(received)
    return bytes(received)
