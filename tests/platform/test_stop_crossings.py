"""Requests and answers that cross the stop of a host."""

import asyncio
import contextlib
import socket
import time
from dataclasses import replace
from typing import Final

import testtools

from asyncrun import run_async
from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverrequest import Request
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

STREAMED_BYTES: Final = 700 * 1024
BUFFERED_BYTES: Final = 500 * 1024
_ASK: Final = (
    b'POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %b\r\n'
    b'Request-Deadline: 3000\r\nKey: key\r\nContent-Length: 0\r\n%b\r\n'
)


def _endpoint(address: str) -> tuple[str, int]:
    ip, _colon, port = address.rpartition(':')
    return ip, int(port)


class PipelinedRequestTest(testtools.TestCase):
    """A connection that is closed passes nothing more on."""

    # In a stop, an unsafe request behind the answer that closes a connection
    # was passed on to the upstream, and its caller saw a closed connection.
    def test_nothing_runs_behind_an_answer_of_a_stop(self) -> None:
        """Leave requests alone that follow the first answer in a stop."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                fleet.hosts[0]._callers_server.is_closing = True
                reader, writer = await asyncio.open_connection(
                    *_endpoint(fleet.settings[0].callers_listen)
                )
                writer.write(
                    _ASK % (b'a-last', b'') + _ASK % (b'a-behind', b'')
                )
                received = await reader.read(-1)
                await asyncio.sleep(0.1)
                writer.transport.abort()
                self.assertEqual(1, received.count(b'HTTP/1.1 '))
                ids = [
                    one.headers['attempt-id'] for one in fleet.upstreams[0].seen
                ]
                self.assertEqual(['a-last'], ids)

        run_async(body())


class StreamedAnswerDuringAStopTest(testtools.TestCase):
    """The gate of a host that stops relays an answer to its end."""

    # A gate that stopped did not count an answer whose head had arrived, and
    # its process ended while the body was being relayed to another host.
    def test_answer_is_relayed_to_its_end(self) -> None:
        """Wait for the last byte of an answer for another host."""
        may_go_on = asyncio.Event()
        has_begun = asyncio.Event()

        async def in_two_parts(
            seen: Seen, writer: asyncio.StreamWriter
        ) -> None:
            content = whole(seen, bytes(STREAMED_BYTES))
            writer.write(content[:-1024])
            has_begun.set()
            await may_go_on.wait()
            writer.write(content[-1024:])

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                host = fleet.hosts[1]
                host.settings = replace(
                    host.settings, callers_leave_s=0.1, grace_s=3
                )
                fleet.hosts[0].gate.is_refusing = True
                fleet.upstreams[1].script = in_two_parts
                asked = asyncio.ensure_future(fleet.ask())
                await has_begun.wait()
                await asyncio.sleep(0.1)

                async def stop() -> None:
                    await host.drain()
                    await host.__aexit__(None, None, None)

                stopping = asyncio.ensure_future(stop())
                # Well inside of the grace time.
                await asyncio.sleep(1)
                may_go_on.set()
                reply = await asked
                await stopping
                self.assertEqual(
                    (200, STREAMED_BYTES), (reply.status, len(reply.body))
                )

        run_async(body())


class SlowReaderDuringAStopTest(testtools.TestCase):
    """A host that stops has written its answers before it ends."""

    # An answer was counted as given once it was buffered, and the rest was
    # dropped when the process ended.
    def test_answer_is_written_whole(self) -> None:
        """Wait until a slow caller has got the whole answer."""

        async def large(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(whole(seen, bytes(BUFFERED_BYTES)))

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                host.settings = replace(
                    host.settings, callers_leave_s=0.1, grace_s=4
                )
                fleet.upstreams[0].script = large
                caller_links = host._callers_server.links
                caller = socket.socket()
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(_endpoint(fleet.settings[0].callers_listen))
                await fleet.until(lambda: caller_links)
                for link in caller_links:
                    # A path that holds little, as between distant hosts.
                    assert link.transport is not None
                    link.transport.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET, socket.SO_SNDBUF, 16384
                    )
                caller.sendall(
                    _ASK.replace(b'POST /book/', b'GET /read/') % (b'a-1', b'')
                )
                await fleet.until(lambda: fleet.upstreams[0].seen)

                async def stop() -> None:
                    await host.drain()
                    await host.__aexit__(None, None, None)

                stopping = asyncio.ensure_future(stop())
                # Well inside of the grace time.
                await asyncio.sleep(1)
                caller.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=caller)
                received = b''
                with contextlib.suppress(ConnectionError):
                    while part := await reader.read(65536):
                        received += part
                writer.transport.abort()
                await stopping
                _head, _blank, content = received.partition(b'\r\n\r\n')
                self.assertEqual(BUFFERED_BYTES, len(content))

        run_async(body())


class ConnectionAtTheCloseTest(testtools.TestCase):
    """A connection made before a listener closes is served."""

    # Connections that waited to be accepted were reset as the listener
    # closed; another host took this for a run that may have happened.
    def test_established_connection_is_served(self) -> None:
        """Answer a request whose connection was made before the close."""

        async def answer(request: Request) -> None:
            request.respond(503, ())

        async def body() -> None:
            async with serving('127.0.0.1', 0, answer) as server:
                await asyncio.sleep(0)
                caller = socket.create_connection(('127.0.0.1', server.port))
                caller.sendall(_ASK % (b'a-1', b''))
                server.stop_listening()
                await asyncio.sleep(0.1)
                caller.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=caller)
                received = b''
                with contextlib.suppress(ConnectionError):
                    received = await reader.readline()
                writer.transport.abort()
                self.assertIn(b' 503 ', received)

        run_async(body())


class PeersDuringAStopTest(testtools.TestCase):
    """Peers know that a gate refuses before its listener closes."""

    # A host ended some 0.2 s after its gate began to refuse. Attempts of
    # hosts that did not know crossed the close and counted as broken runs.
    def test_peers_know_before_the_listener_closes(self) -> None:
        """Leave no peer that would send an attempt to a closed listener."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                host = fleet.hosts[1]
                host.settings = replace(
                    host.settings, callers_leave_s=0.1, grace_s=3
                )
                for _attempt in range(4):
                    reply = await fleet.ask()
                    self.assertEqual(200, reply.status)
                balancer = fleet.hosts[0].balancer
                has_learnt = False
                stopping = asyncio.ensure_future(host.drain())
                while not stopping.done():
                    await asyncio.sleep(0.01)
                    has_learnt |= not balancer.has_room(
                        'mine', {'host-0'}, time.monotonic()
                    )
                self.assertTrue(has_learnt)

        run_async(body())
