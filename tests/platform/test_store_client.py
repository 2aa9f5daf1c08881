"""Check the store client, also under faults, against a fake store."""

import asyncio

import testtools

from adapter.storeclient import StoreClient
from asyncrun import run_async
from dragonflyknot.stores.rowstore import (
    HistoryLost,
    RowName,
    StoreOut,
    StoreVersion,
)
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
