"""Check the store client, also under faults, against a fake store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import testtools

from adapter.storeclient import StoreClient
from asyncrun import run_async
from dragonflyknot.exchange.jsonfields import MAX_JSON_BYTES
from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverrequest import Request
from dragonflyknot.stores.rowstore import (
    HistoryLost,
    RowName,
    StoreOut,
    StoreVersion,
)
from hostilejson import NESTED
from rowstandin import RowStandIn, standing_in


class StoreClientTest(testtools.TestCase):
    """Check reading, watching, writing and removing of rows."""

    def test_write_read_and_remove(self) -> None:
        """Write rows, read them back in pages and remove one."""

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                for number in range(501):
                    name = RowName('hosts', f'h{number:03}')
                    await client.put(name, b'%d' % number)
                snapshot = await client.read('hosts')
                self.assertEqual(501, len(snapshot.rows))
                self.assertEqual(b'500', snapshot.rows[-1].content)
                first = snapshot.rows[0]
                name = RowName('hosts', first.key)
                other = StoreVersion(first.version.number + 1)
                was_removed = await client.remove([name], [other])
                self.assertFalse(was_removed)
                self.assertTrue(await client.remove([name], [first.version]))
                client.close()

        run_async(body())

    def test_feed_returns_changes_and_removals(self) -> None:
        """Return what changed after a version, in order."""

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                store.write('op', 'config', b'one')
                before = await client.read('op')
                store.write('op', 'config', b'two')
                changes = await client.changes('op', before.version, 1)
                contents = [row.content for row in changes.rows]
                self.assertEqual([b'two'], contents)
                row = changes.rows[0]
                await client.remove([RowName('op', row.key)], [row.version])
                gone = await client.changes('op', changes.version, 1)
                self.assertIsNone(gone.rows[0].content)
                client.close()

        run_async(body())

    # Guards against a row that changes while its table is read in pages.
    def test_change_between_two_pages(self) -> None:
        """Follow a table from the version of its first page."""

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                for number in range(501):
                    store.write('hosts', f'h{number:03}', b'older')
                first_page = asyncio.Event()
                store.switches.held['/rows-get'] = first_page
                reading = asyncio.create_task(client.read('hosts'))
                while '/rows-get' not in store.calls:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                store.write('hosts', 'h000', b'newer')
                first_page.set()
                snapshot = await reading
                self.assertEqual(501, len(snapshot.rows))
                self.assertEqual(b'older', snapshot.rows[0].content)
                changes = await client.changes('hosts', snapshot.version, 1)
                self.assertEqual(
                    [b'newer'], [row.content for row in changes.rows]
                )
                client.close()

        run_async(body())

    def test_lost_history(self) -> None:
        """Raise HistoryLost when the store dropped the changes."""

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                store.forget_history()
                with testtools.ExpectedException(HistoryLost):
                    await client.changes('op', StoreVersion(0), 1)
                client.close()

        run_async(body())

    def test_outage_and_rejection(self) -> None:
        """Raise StoreOut if the store is down, busy or rejects this host."""

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                for status in (503, 429):
                    store.switches.status = status
                    with testtools.ExpectedException(StoreOut):
                        await client.read('op')
            with testtools.ExpectedException(StoreOut):
                await client.read('op')
            client.close()

        run_async(body())

    def test_lost_answer_after_the_write(self) -> None:
        """Raise StoreOut with `may_be_done` when the response is lost.

        The write is applied all the same.
        """

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                store.switches.lose_answers = 1
                try:
                    await client.put(RowName('t', 'k'), b'v')
                except StoreOut as out:
                    self.assertTrue(out.may_be_done)
                self.assertIn(('t', 'k'), store.rows)
                client.close()

        run_async(body())


class OddAnswerTest(testtools.TestCase):
    """An answer that can't be read is an outage, an odd row is left out."""

    # Guards against followers that end at an answer that they can't read.
    def test_malformed_answers(self) -> None:
        """Raise StoreOut whatever the store answers."""
        row = b'{"table":"t","key":"k","value":"","ver":%b}'
        rows = b'{"ver":1,"rows":[%b]}'
        for answer in (
            NESTED,
            b'',
            b'[]',
            b'{}',
            b'{"rows":[]}',
            b'{"ver":1e400,"rows":[]}',
            b'{"ver":1,"rows":{"a":1}}',
            rows % b'[]',
            rows % b'{"key":"k","value":""}',
            rows % (row % b'1e400'),
        ):
            self._assert_store_out(answer)

    def test_value_that_is_not_base64(self) -> None:
        """Return such a row without content, and the others as they are."""
        values = (b'"a"', b'"\\ud800"', b'7', b'null', b'"djI="')
        rows = b','.join(
            b'{"table":"t","key":"k%d","value":%b,"ver":1}' % (number, value)
            for number, value in enumerate(values)
        )

        async def body() -> None:
            answer = b'{"ver":1,"rows":[%b]}' % rows
            async with _answering(answer) as client:
                snapshot = await client.read('t')
                contents = [row.content for row in snapshot.rows]
                self.assertEqual([b'', b'', b'', b'', b'v2'], contents)

        run_async(body())

    # Guards against a read that fails for all rows because of one key.
    def test_key_that_is_no_text(self) -> None:
        """Leave out rows whose keys can't be read, and return the others."""
        keys = (b'[]', b'"\\ud800"', b'"k"')
        rows = b','.join(
            b'{"table":"t","key":%b,"value":"djI=","ver":1}' % key
            for key in keys
        )

        async def body() -> None:
            async with _answering(b'{"ver":1,"rows":[{},%b]}' % rows) as client:
                snapshot = await client.read('t')
                self.assertEqual(['k'], [row.key for row in snapshot.rows])

        run_async(body())

    # Guards against followers that end at rows too large for one buffer.
    def test_page_of_large_rows(self) -> None:
        """Read a page that holds large rows of another writer."""

        async def body() -> None:
            store = RowStandIn()
            async with standing_in(store) as address:
                client = StoreClient(address)
                large = b'x' * 400_000
                for key in ('a', 'b'):
                    store.write('hosts', key, large)
                snapshot = await client.read('hosts')
                contents = [row.content for row in snapshot.rows]
                self.assertEqual([large, large], contents)
                client.close()

        run_async(body())

    # Guards against an answer that takes all the memory of a host.
    def test_endless_answer(self) -> None:
        """Raise StoreOut at an answer longer than any page."""
        self._assert_store_out(b' ' * (MAX_JSON_BYTES + 1))

    def _assert_store_out(self, answer: bytes) -> None:
        async def body() -> None:
            async with _answering(answer) as client:
                with testtools.ExpectedException(StoreOut):
                    await client.read('t')
                with testtools.ExpectedException(StoreOut):
                    await client.changes('t', StoreVersion(0), 1)

        run_async(body())


@asynccontextmanager
async def _answering(answer: bytes) -> AsyncIterator[StoreClient]:
    """Yield the client of a store that gives one answer to all calls."""

    async def serve(request: Request) -> None:
        request.respond(200, (), answer)

    async with serving('127.0.0.1', 0, serve) as server:
        client = StoreClient(f'127.0.0.1:{server.port}')
        try:
            yield client
        finally:
            client.close()
