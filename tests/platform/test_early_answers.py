"""Upstreams that answer an upload early, are cut, or send an odd status."""

import asyncio
import itertools
import socket
import struct
from dataclasses import dataclass

import testtools

from asyncrun import run_async
from dragonflyknot.decisions.calls import UpstreamState
from fakeupstream import Script, Seen
from sitefleet import SiteFleet

UPLOAD_BYTES = 3_000_000
PARTS = (b'b' * 500, b'b' * 1_000_000)
LINGER_NOT = struct.pack('ii', 1, 0)
SIGNED = b'HTTP/1.1 %b\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\n'
NO_LENGTH = SIGNED % b'200 OK' + b'Connection: close\r\n\r\n'
STATUSES = (b'000', b'099', b'600', b'999', b'1000', b'-20', b'abc')
LAST_CHUNK = b'\r\n0\r\n\r\n'
ROUNDS = 5
_attempts = itertools.count()


@dataclass(frozen=True)
class Received:
    """Hold what a caller received, and whether it ended with a reset."""

    content: bytes
    was_reset: bool

    @property
    def status(self) -> int:
        """Return the status, 0 without an answer."""
        words = self.content.split(b' ', 2)
        return int(words[1]) if len(words) > 1 else 0

    @property
    def looks_whole(self) -> bool:
        """Return whether the answer is a success that seems complete."""
        if not 200 <= self.status < 300 or self.was_reset:
            return False
        head, _blank, body = self.content.partition(b'\r\n\r\n')
        if b'chunked' in head.lower():
            return body.endswith(LAST_CHUNK)
        return True


class EarlyAnswerTest(testtools.TestCase):
    """An upstream answers without a length and resets during the upload."""

    # Guards against a part of an answer that reaches a caller as a whole one.
    def test_reset_while_the_upload_is_written(self) -> None:
        """Let the caller see that the answer is not whole."""
        for part, version in itertools.product(PARTS, ('1.1', '1.0')):
            run_async(self._check(part, version))

    async def _check(self, part: bytes, version: str) -> None:
        async with SiteFleet(2) as fleet:
            await fleet.announce(1, UpstreamState.DRAINING)
            fleet.upstreams[0].answers_early = True
            fleet.upstreams[0].script = _answer_and_reset(part)
            for number, is_chunked in itertools.product((0, 1), (True, False)):
                for _ in range(ROUNDS):
                    received = await _upload(
                        fleet, number, version, is_chunked=is_chunked
                    )
                    where = (len(part), version, number, is_chunked)
                    self.assertFalse(received.looks_whole, str(where))


class WholeAnswerTest(testtools.TestCase):
    """An answer without a length ends with its connection."""

    # Guards against chunks for a client that doesn't know them.
    def test_older_client_gets_no_chunks(self) -> None:
        """End a long answer with the connection for HTTP/1.0."""

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(_with_id(NO_LENGTH, seen) + PARTS[1])
            await writer.drain()
            writer.close()

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(1, UpstreamState.DRAINING)
                fleet.upstreams[0].script = script
                for number in (0, 1):
                    received = await _ask(fleet, number, '1.0')
                    self.assertEqual(200, received.status)
                    self.assertFalse(received.was_reset)
                    head, _blank, content = received.content.partition(
                        b'\r\n\r\n'
                    )
                    self.assertNotIn(b'chunked', head.lower())
                    self.assertEqual(PARTS[1], content)

        run_async(body())


class OddStatusTest(testtools.TestCase):
    """An upstream answers with a status that HTTP doesn't have."""

    # Guards against a status beyond three digits from 100 to 599 that reaches
    # a caller as an answer.
    def test_odd_status_is_no_answer(self) -> None:
        """Answer with a failure of the daemon in its place."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(1, UpstreamState.DRAINING)
                for status, version in itertools.product(
                    STATUSES, ('1.1', '1.0')
                ):
                    fleet.upstreams[0].script = _answer_with(status)
                    for number in (0, 1):
                        received = await _ask(fleet, number, version)
                        where = f'{status!r} {version} {number}'
                        self.assertIn(received.status, (502, 503, 504), where)

        run_async(body())


def _answer_with(status: bytes) -> Script:
    async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
        head = _with_id(SIGNED % (status + b' Odd'), seen)
        writer.write(head + b'Content-Length: 2\r\n\r\nok')

    return script


def _answer_and_reset(part: bytes) -> Script:
    async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(_with_id(NO_LENGTH, seen) + part)
        await asyncio.sleep(0.02)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT
        )
        writer.transport.abort()

    return script


def _with_id(head: bytes, seen: Seen) -> bytes:
    return head.replace(b'ID', seen.headers.get('attempt-id', '').encode())


async def _ask(fleet: SiteFleet, number: int, version: str) -> Received:
    return await _exchange(fleet, number, _head('GET', '/read/x', version))


async def _upload(
    fleet: SiteFleet, number: int, version: str, *, is_chunked: bool
) -> Received:
    head = _head('POST', '/book/x', version).removesuffix(b'\r\n')
    content = bytes(UPLOAD_BYTES)
    if is_chunked and version == '1.1':
        framing = b'Transfer-Encoding: chunked\r\n\r\n'
        content = b'%x\r\n%b\r\n0\r\n\r\n' % (UPLOAD_BYTES, content)
    else:
        framing = b'Content-Length: %d\r\n\r\n' % UPLOAD_BYTES
    return await _exchange(fleet, number, head + framing + content)


def _head(method: str, path: str, version: str) -> bytes:
    return (
        f'{method} {path} HTTP/{version}\r\nHost: h\r\n'
        f'Attempt-Id: e{next(_attempts)}\r\n'
        'Request-Deadline: 3000\r\nKey: key\r\nConnection: close\r\n\r\n'
    ).encode()


async def _exchange(fleet: SiteFleet, number: int, request: bytes) -> Received:
    ip, _colon, port = fleet.settings[number].callers_listen.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    received = bytearray()
    try:
        writer.write(request)
        while part := await reader.read(65536):
            received += part
    except ConnectionError:
        return Received(bytes(received), was_reset=True)
    finally:
        writer.transport.abort()
    return Received(bytes(received), was_reset=False)
