"""Test upstreams that write an answer twice on a kept connection."""

import asyncio
import time

import testtools
from aiohttp.test_utils import make_mocked_request

from asyncrun import run_async
from dragonflyknot.decisions.calls import Call
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.exchange.sessions import relay_session
from dragonflyknot.upstreams.dispatch import UpstreamRequest, send_to_upstream

REFUSAL = (
    b'HTTP/1.1 503 Full\r\nDragonflyknot-Outcome: not-run\r\n'
    b'Content-Length: 0\r\n\r\n'
)
SERVED = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class ExtraAnswerTest(testtools.TestCase):
    """An upstream writes an answer once more on an idle connection."""

    # Guards against a caller that gets the answer to another request.
    def test_second_copy_goes_to_nobody(self) -> None:
        """Answer the next request on another connection."""
        connections: list[int] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            number = len(connections)
            connections.append(number)
            try:
                while await reader.readuntil(b'\r\n\r\n'):
                    answer = SERVED.replace(b'OK', b'OK-%d' % number)
                    writer.write(answer)
                    await asyncio.sleep(0.02)
                    writer.write(answer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        async def body() -> None:
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            async with server, relay_session() as session:
                for number in range(3):
                    url = f'http://127.0.0.1:{port}/x'
                    async with session.get(url) as answer:
                        self.assertEqual(f'OK-{number}', answer.reason)
                    await asyncio.sleep(0.05)

        run_async(body())


class ExtraRefusalTest(testtools.TestCase):
    """An upstream writes a refusal once more before the next answer."""

    # Guards against a promise of not-run for a request that the upstream ran.
    def test_refusal_of_another_request_is_no_promise(self) -> None:
        """Do not report a request as refused that was served."""
        has_refused_twice = asyncio.Event()
        heads: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    heads.append(await reader.readuntil(b'\r\n\r\n'))
                    if len(heads) > 1:
                        writer.write(SERVED)
                        continue
                    writer.write(REFUSAL)
                    await asyncio.sleep(0.02)
                    writer.write(REFUSAL)
                    has_refused_twice.set()
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        def upstream_request(address: str) -> UpstreamRequest:
            call = Call('r', 'c', 'w', 's', 0, time.monotonic() + 5)
            request = make_mocked_request('POST', '/x')
            return UpstreamRequest(address, 'c', call, request)

        async def body() -> None:
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            address = f'127.0.0.1:{port}'
            async with server, relay_session() as session:
                first = await send_to_upstream(
                    session, upstream_request(address)
                )
                self.assertIsInstance(first, Refused)
                await has_refused_twice.wait()
                await asyncio.sleep(0.02)
                second = await send_to_upstream(
                    session, upstream_request(address)
                )
                self.assertNotIsInstance(second, Refused)

        run_async(body())
