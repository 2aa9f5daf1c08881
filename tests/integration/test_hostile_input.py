"""Check malformed and hostile input on the listeners of a daemon."""

import asyncio
from collections.abc import Sequence

from harness.caller import Shot
from promisesite import EDGE, NORTH, Site, SiteCase, until

ANSWER_DEADLINE_S = 20
SLOW_SENDERS = 200
_LONG_VALUE = b'a' * 200_000


class SmugglingTest(SiteCase):
    """Check against request smuggling, and that daemons keep running."""

    specs = (EDGE, NORTH)

    def test_ambiguous_requests_are_refused(self) -> None:
        async def body(site: Site) -> None:
            before = site.runs()['hidden']
            for raw in _ambiguous_requests(site.keys_by_workspace['studio']):
                received = await _send(site.fleet.callers('edge'), raw)
                status = received.split(b' ', 2)[1:2]
                self.assertTrue(status in ([], [b'400']), (raw, received))
            self.assertEqual(before, site.runs()['hidden'])
            await self._assert_serves(site)

        self.on_site(body)

    def test_malformed_heads_leave_daemons_running(self) -> None:
        async def body(site: Site) -> None:
            for address in _listeners(site):
                for raw in _malformed_heads():
                    await _send(address, raw)
            self._assert_running(site)
            await self._assert_serves(site)

        self.on_site(body)

    def test_slow_senders_do_not_delay_others(self) -> None:
        async def body(site: Site) -> None:
            writers = []
            ip, _, port = site.fleet.callers('edge').rpartition(':')
            for _ in range(SLOW_SENDERS):
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b'GET /auditions/1 HTTP/1.1\r\nHost: a\r\nX-')
                writers.append(writer)
            await self._assert_serves(site)
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(0)
            self._assert_running(site)

        self.on_site(body)

    async def _assert_serves(self, site: Site) -> None:
        async def is_served() -> bool:
            result = await site.shoot(Shot('GET', '/auditions/1'))
            return result.is_whole

        await until(is_served)

    def _assert_running(self, site: Site) -> None:
        for daemon in site.fleet.daemons_by_host.values():
            self.assertTrue(daemon.is_running, daemon.name)
            crashes = [line for line in daemon.lines() if 'Traceback' in line]
            self.assertEqual([], crashes)


def _ambiguous_requests(key: str) -> list[bytes]:
    hidden = b'GET /auditions/1 HTTP/1.1\r\nX-Tag: hidden\r\n\r\n'
    head = (
        b'POST /recordings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer '
        + key.encode()
        + b'\r\n'
    )
    return [
        head
        + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        + hidden,
        head + b'Content-Length: 4\r\nContent-Length: 50\r\n\r\n' + hidden,
        head + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n' + hidden,
        head + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n' + hidden,
        head + b'Content-Length: -1\r\n\r\n' + hidden,
        head + b'Content-Length: +5\r\n\r\nhello' + hidden,
        head + b'Content-Length : 5\r\n\r\nhello' + hidden,
    ]


def _malformed_heads() -> Sequence[bytes]:
    start = b'GET /auditions/1 HTTP/1.1\r\nHost: a\r\n'
    return (
        b'\x00\x01\x02\x03\r\n\r\n',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        b'GET ' + _LONG_VALUE + b' HTTP/1.1\r\n\r\n',
        start + b'X-Long: ' + _LONG_VALUE + b'\r\n\r\n',
        start + b'X-Many: 1\r\n' * 20_000 + b'\r\n',
        start + b'Authorization: Bearer \xff\xfe\x00\r\n\r\n',
        start + b'Authorization: Basic abc\r\n\r\n',
        start + b'Request-Timeout: 99999999999999999999\r\n\r\n',
        start + b'Request-Timeout: nan\r\n\r\n',
        start + b'Dragonflyknot-Chain: \xe9\r\n\r\n',
        start + b'Dragonflyknot-Call: {"attempt": 1}\r\n\r\n',
        start + b'Dragonflyknot-Secret: \xe9\r\n\r\n',
        b'GET http://[::1 HTTP/1.1\r\nHost: a\r\n\r\n',
        b'GET /%00/..%2f..%2f HTTP/1.1\r\nHost: a\r\n\r\n',
    )


def _listeners(site: Site) -> list[str]:
    addresses = site.fleet.addresses_by_host['edge']
    return [
        addresses.callers,
        addresses.upstream,
        addresses.requests,
        addresses.control,
        addresses.operators,
    ]


async def _send(address: str, raw: bytes) -> bytes:
    """Send bytes, close the sending side and return all that comes back."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    received = b''
    try:
        async with asyncio.timeout(ANSWER_DEADLINE_S):
            writer.write(raw)
            await writer.drain()
            writer.write_eof()
            while chunk := await reader.read(65536):
                received += chunk
    except OSError:
        pass  # The daemon may reset a connection that it rejects.
    finally:
        writer.transport.abort()
        await asyncio.sleep(0)
    return received
