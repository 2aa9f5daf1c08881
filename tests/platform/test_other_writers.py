"""A site whose hosts table and whose peers hold what others wrote."""

import asyncio
import json
from typing import Any
from unittest import mock

import testtools

from asyncrun import run_async
from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverrequest import Request
from dragonflyknot.peers import sitewire
from fakeupstream import Seen, whole
from harness.addresses import free_port
from sitefleet import SiteFleet

NESTED = b'[' * 100_000
TOO_LARGE = b'1e400'


def entry(host: str, **changed: Any) -> bytes:
    """Return the row of a ready host, with some fields changed."""
    fields = {
        'host': host,
        'address': f'127.0.0.1:{free_port()}',
        'data_center': 'a',
        'region': 'north',
        'service': 'mine',
        'state': 'ready',
        'slots': 10,
        'instance': 'i',
        'born': 1,
        'stamp': 1,
        **changed,
    }
    return json.dumps(fields).encode()


def entry_with(host: str, field: str, text: bytes) -> bytes:
    """Return the row of a ready host with a field as it stands in JSON."""
    return entry(host, **{field: 'HERE'}).replace(b'"HERE"', text)


class OddRowTest(testtools.TestCase):
    """A row of another writer is left out, and the others hold."""

    # Guards against followers that end at a row that can't be read.
    def test_nested_row(self) -> None:
        """Go on after a row that is nested too deeply."""
        self._assert_followed(NESTED)

    def test_number_too_large(self) -> None:
        """Go on after a row with a number beyond all ranges."""
        self._assert_followed(entry_with('odd', 'slots', TOO_LARGE))

    # Guards against gossip that ends when it connects to such a port.
    def test_port_out_of_range(self) -> None:
        """Go on after a row whose address nobody can connect to."""
        for address in ('127.0.0.1:99999', '127.0.0.1', ''):
            self._assert_followed(entry('odd', address=address))

    # Guards against a digest that can't be encoded, without which gossip ends.
    def test_half_character(self) -> None:
        """Go on after rows with a lone surrogate in a name."""
        for changed in ({'host': 'odd\ud800'}, {'region': '\ud800'}):
            row = entry(**{'host': 'odd', **changed})
            self._assert_followed(row, changed.get('host', 'odd'))

    def _assert_followed(self, row: bytes, key: str = 'odd') -> None:
        async def body() -> None:
            async with SiteFleet(2) as fleet:
                fleet.store.write('hosts', key, row)
                fleet.store.write('hosts', 'late', entry('late'))
                await fleet.until(lambda: _all_know(fleet, 'late'))
                self.assertFalse(_any_knows(fleet, key))
                # Gossip goes on with what comes later.
                fleet.store.write('hosts', 'later', entry('later'))
                await fleet.until(lambda: _all_know(fleet, 'later'))

        run_async(body())


class OwnRowTest(testtools.TestCase):
    """A host's own row that another writer spoilt is written again."""

    # Guards against a host that no new process can read about.
    def test_spoilt_row(self) -> None:
        """Write the row once more, with the host's own state."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.until(
                    lambda: ('hosts', 'host-0') in fleet.store.rows
                )
                for odd in (NESTED, entry('host-0', stamp=2**63 - 1), b''):
                    fleet.store.write('hosts', 'host-0', odd)
                    await fleet.until(lambda: _stored(fleet, 'host-0') == 'i-0')

        run_async(body())


class FollowerTest(testtools.TestCase):
    """What a listener raises ends no follower, and gossip goes on."""

    # Guards against one unforeseen error that ends all loops of a host.
    def test_unforeseen_error(self) -> None:
        """Read the table again after an error that nobody foresaw."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                with mock.patch.object(
                    sitewire, 'decode_entry', side_effect=ArithmeticError
                ) as decode:
                    fleet.store.write('hosts', 'odd', entry('odd'))
                    await fleet.until(lambda: decode.call_count > 2)
                fleet.store.write('hosts', 'late', entry('late'))
                await fleet.until(lambda: _all_know(fleet, 'late'))

        run_async(body())


class OddPeerTest(testtools.TestCase):
    """A peer that answers what can't be read ends no gossip."""

    def test_nested_answer(self) -> None:
        """Go on after answers that are nested too deeply."""
        self._assert_goes_on(NESTED)

    def test_number_too_large(self) -> None:
        """Go on after answers with a number beyond all ranges."""
        answer = b'{"version":1e400,"digest":"","entries":[]}'
        self._assert_goes_on(answer)

    def _assert_goes_on(self, answer: bytes) -> None:
        asked: list[bytes] = []

        async def serve(request: Request) -> None:
            asked.append(request.target)
            request.respond(200, (), answer)

        async def body() -> None:
            async with (
                SiteFleet(2) as fleet,
                serving('127.0.0.1', 0, serve) as server,
            ):
                address = f'127.0.0.1:{server.port}'
                row = entry('odd', address=address)
                fleet.store.write('hosts', 'odd', row)
                await fleet.until(lambda: len(asked) > 5)
                fleet.store.write('hosts', 'late', entry('late'))
                await fleet.until(lambda: _all_know(fleet, 'late'))

        run_async(body())


class KeepAliveTest(testtools.TestCase):
    """An upstream may state any idle timeout."""

    # Guards against a served request that is lost for a number in a header.
    def test_timeout_out_of_range(self) -> None:
        """Return the answer whatever its Keep-Alive header holds."""
        for digits in (400, 5000):
            header = f'Keep-Alive: timeout={"9" * digits}\r\n'
            self.assertEqual(200, _status_with(header), str(digits))


def _status_with(header: str) -> int:
    """Return the status of a request whose answer has a header."""

    async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(whole(seen, extra=header))

    async def body() -> int:
        async with SiteFleet(1) as fleet:
            fleet.upstreams[0].script = script
            reply = await fleet.ask(path='/book/x', method='POST')
            return reply.status

    return run_async(body())


def _stored(fleet: SiteFleet, host: str) -> str:
    """Return the instance that a host's row names, empty if it is spoilt."""
    content, _version = fleet.store.rows['hosts', host]
    stored = sitewire.decode_entry(content)
    return '' if stored is None else stored.instance


def _all_know(fleet: SiteFleet, name: str) -> bool:
    return all(name in _known(fleet, n) for n in range(len(fleet.hosts)))


def _any_knows(fleet: SiteFleet, name: str) -> bool:
    return any(name in _known(fleet, n) for n in range(len(fleet.hosts)))


def _known(fleet: SiteFleet, number: int) -> set[str]:
    return {one.place.host for one in fleet.hosts[number].members.entries()}
