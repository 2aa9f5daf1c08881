"""Upstreams that send bytes without end, in a head or in a body."""

import asyncio
from dataclasses import dataclass, field

import testtools

from asyncrun import run_async
from fakeupstream import Seen, whole
from sitefleet import Reply, SiteFleet

SIGNED = b'HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\n'
CHUNKED = SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'
PAUSE_S = 0.001
MAX_HEAD_BYTES = 1024 * 1024
LAST_CHUNK = b'0\r\n\r\n'

HEADS = (
    ('noise', b'', b'\x00noise'),
    ('status line', b'HTTP/1.1 200 ', b'a' * 1000),
    ('header name', SIGNED, b'a' * 1000),
    ('header value', SIGNED + b'X: ', b'a' * 1000),
    ('header lines', SIGNED, b'X-A: b\r\n' * 100),
    ('long header lines', SIGNED, b'X-A: ' + b'b' * 60000 + b'\r\n'),
)
BODIES = (
    ('chunk size', CHUNKED, b'0' * 1000),
    ('chunk extension', CHUNKED + b'5;', b'a' * 1000),
    ('chunks', CHUNKED, b'3e8\r\n' + b'a' * 1000 + b'\r\n'),
    ('trailers', CHUNKED + b'0\r\n', b'X-A: b\r\n' * 100),
    ('no length', SIGNED + b'Connection: close\r\n\r\n', b'a' * 1000),
)
WAITING = (
    ('blank lines', b'', b'\r\n' * 500),
    ('interim answers', b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 50),
)


@dataclass
class EndlessUpstream:
    """Send a start and then the same part until the caller closes."""

    start: bytes
    part: bytes
    sent_bytes: int = 0
    has_ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        request_id = seen.headers.get('attempt-id', '').encode()
        writer.write(self.start.replace(b'ID', request_id))
        try:
            while True:
                writer.write(self.part)
                await writer.drain()
                self.sent_bytes += len(self.part)
                await asyncio.sleep(PAUSE_S)
        finally:
            self.has_ended.set()


async def ask(upstream: EndlessUpstream) -> Reply:
    """Ask once; return the reply when the daemon has closed the connection."""
    async with SiteFleet(1) as fleet:
        fleet.upstreams[0].script = upstream
        reply = await fleet.ask(path='/book/x', method='POST')
        await upstream.has_ended.wait()
        fleet.upstreams[0].script = None
        healthy = await fleet.ask(path='/book/x', method='POST')
        if healthy.status != 200:
            return healthy
        return reply


class EndlessAnswerTest(testtools.TestCase):
    """Bytes without end cost neither memory nor a wrong answer."""

    # Guards against heads that are collected until the timeout.
    def test_heads_without_end(self) -> None:
        """Close the connection after a bounded number of bytes."""
        for name, start, part in HEADS:
            upstream = EndlessUpstream(start, part)
            reply = run_async(ask(upstream))
            self.assertEqual(502, reply.status, name)
            self.assertLessEqual(upstream.sent_bytes, MAX_HEAD_BYTES, name)

    # Guards against bodies that look complete though they never ended.
    def test_bodies_without_end(self) -> None:
        """Never end the answer as if it were whole."""
        for name, start, part in BODIES:
            reply = run_async(ask(EndlessUpstream(start, part)))
            if reply.status == 200:
                self.assertEqual(
                    'chunked', reply.headers.get('transfer-encoding'), name
                )
                self.assertFalse(reply.body.endswith(LAST_CHUNK), name)
            else:
                self.assertIn(reply.status, (502, 504), name)

    # Guards against interim answers that count as the final one.
    def test_nothing_but_what_precedes_an_answer(self) -> None:
        """Fail at the timeout where no final answer ever starts."""
        for name, start, part in WAITING:
            reply = run_async(ask(EndlessUpstream(start, part)))
            self.assertIn(reply.status, (502, 504), name)

    # Guards against a link that is used again with answers behind the first.
    def test_answers_without_end(self) -> None:
        """Return the first answer and close the connection."""

        async def answers(seen: Seen, writer: asyncio.StreamWriter) -> None:
            while True:
                writer.write(whole(seen))
                await writer.drain()

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                fleet.upstreams[0].script = answers
                for _request in range(3):
                    reply = await fleet.ask()
                    self.assertEqual((200, b'ok'), (reply.status, reply.body))
                await fleet.until(lambda: fleet.upstreams[0].dropped == 3)

        run_async(body())
