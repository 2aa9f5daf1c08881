"""Upstreams that end a connection in the middle of an answer."""

import asyncio
import itertools
import socket
import struct

import testtools

from asyncrun import run_async
from dragonflyknot.decisions.calls import UpstreamState
from fakeupstream import Seen
from sitefleet import Reply, SiteFleet

BODY = b'b' * 500
LARGE = b'b' * 1_000_000
HEALTHY_BETWEEN = 2
LINGER_NOT = struct.pack('ii', 1, 0)
SIGNED = b'HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\n'
LENGTH = SIGNED + b'Content-Length: 500\r\n'
HEADS = (
    ('nothing', b''),
    ('part of the version', b'HTTP/1'),
    ('part of the status', b'HTTP/1.1 20'),
    ('status', b'HTTP/1.1 200'),
    ('part of the status line', b'HTTP/1.1 200 O'),
    ('status line', b'HTTP/1.1 200 OK\r\n'),
    ('status line and half a line end', b'HTTP/1.1 200 OK\r'),
    ('part of a name', SIGNED + b'Content-Len'),
    ('name', SIGNED + b'Content-Length:'),
    ('part of the length', SIGNED + b'Content-Length: 5'),
    ('length without a line end', SIGNED + b'Content-Length: 500'),
    ('length and half a line end', SIGNED + b'Content-Length: 500\r'),
    ('all lines', LENGTH),
    ('all lines and half a line end', LENGTH + b'\r'),
    ('folded line', SIGNED + b'Content-Length: 5\r\n 00'),
    ('coding', SIGNED + b'Transfer-Encoding: chunk'),
    ('no body by its status', b'HTTP/1.1 204 No\r\nResponse-Signature: s\r\n'),
    ('not modified', b'HTTP/1.1 304 No\r\nResponse-Signature: s\r\n'),
    ('closing', SIGNED + b'Connection: close\r\n'),
    ('refusal', b'HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\n'),
)
CHUNKED = SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'
BODIES = (
    ('no body', LENGTH + b'\r\n'),
    ('part of the body', LENGTH + b'\r\n' + BODY[:-1]),
    ('no chunk', CHUNKED),
    ('chunk size', CHUNKED + b'1f4'),
    ('part of a chunk', CHUNKED + b'1f4\r\n' + BODY[:-1]),
    ('no last chunk', CHUNKED + b'1f4\r\n' + BODY + b'\r\n'),
    ('part of the last chunk', CHUNKED + b'1f4\r\n' + BODY + b'\r\n0'),
    ('no end of trailers', CHUNKED + b'1f4\r\n' + BODY + b'\r\n0\r\n'),
    (
        'refusal',
        b'HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\n'
        b'Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfull',
    ),
)


class CutAnswerTest(testtools.TestCase):
    """An answer that ends early is a failure, never a whole answer."""

    def check(
        self,
        cases: tuple[tuple[str, bytes], ...],
        methods: tuple[str, ...],
        *,
        resets: bool,
    ) -> None:
        """Ask both hosts over new and kept connections to one upstream."""
        cut = [b'']

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            request_id = seen.headers['attempt-id'].encode()
            writer.write(cut[0].replace(b'ID', request_id))
            await writer.drain()
            if resets:
                await asyncio.sleep(0.02)
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT
                )
                writer.transport.abort()
            writer.close()

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(1, UpstreamState.DRAINING)
                for name, cut[0] in cases:
                    for number, method in itertools.product((0, 1), methods):
                        fleet.upstreams[0].script = None
                        for _request in range(HEALTHY_BETWEEN):
                            whole = await fleet.ask(number, '/book/x')
                            self.assertEqual(200, whole.status, name)
                        fleet.upstreams[0].script = script
                        reply = await fleet.ask(number, '/book/x', method)
                        self.assertEqual(502, reply.status, f'{name} {method}')
                self.assertEqual([], fleet.upstreams[1].seen)

        run_async(body())

    # Guards against the lines of a cut head that are taken as a whole one.
    def test_cut_heads(self) -> None:
        """Answer 502, also over another host, wherever the head is cut."""
        self.check(HEADS, ('POST', 'GET', 'HEAD'), resets=False)

    # Guards against a short body that is passed on as a whole one.
    def test_cut_bodies(self) -> None:
        """Answer 502, also over another host, wherever the body is cut."""
        self.check(BODIES, ('POST', 'GET'), resets=False)

    # Guards against a body without a length that is whole after a reset.
    def test_reset_bodies(self) -> None:
        """Take a body without a length as whole only after a close."""
        cut = SIGNED + b'Connection: close\r\n\r\n' + BODY
        self.check((('reset', cut),), ('POST', 'GET'), resets=True)

    # Guards against a large body that breaks after its start was passed on.
    def test_cut_streams(self) -> None:
        """Break the connection to the caller where a large body breaks."""

        starts = (
            (SIGNED + b'Content-Length: 2000000\r\n\r\n', b''),
            (CHUNKED + b'f4240\r\n', b''),
            (CHUNKED + b'f4240\r\n', b'\r\n'),
        )
        parts = [b'', b'']

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            request_id = seen.headers['attempt-id'].encode()
            head = parts[0].replace(b'ID', request_id)
            writer.write(head + LARGE + parts[1])
            await writer.drain()
            writer.close()

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(1, UpstreamState.DRAINING)
                fleet.upstreams[0].script = script
                for parts[:] in starts:
                    for number in (0, 1):
                        reply = await fleet.ask(number)
                        self.assertFalse(_looks_whole(reply), str(parts))

        run_async(body())


def _looks_whole(reply: Reply) -> bool:
    if not 200 <= reply.status < 300:
        return False
    length = reply.headers.get('content-length')
    if length is not None:
        return len(reply.body) == int(length)
    is_chunked = reply.headers.get('transfer-encoding') == 'chunked'
    return not is_chunked or reply.body.endswith(b'\r\n0\r\n\r\n')
