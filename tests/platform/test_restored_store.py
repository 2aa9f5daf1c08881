"""A store that comes back from an older copy, and what is kept over that."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

import testtools

from adapter.storeclient import StoreClient
from asyncrun import run_async
from dragonflyknot.daemon.follower import TableFollower
from dragonflyknot.daemon.sitemembers import SiteMembers
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.peers import sitewire
from dragonflyknot.stores.rowstore import (
    HistoryLost,
    RowName,
    Snapshot,
    StoreOut,
    StoreVersion,
)
from fakeupstream import Seen
from rowstandin import RowStandIn, standing_in
from sitefleet import SiteFleet, configuration

SEEN_DEADLINE_S = 6
# Changes have to be seen sooner than at the end of such a wait.
WAIT_S = 29.0


class FeedTest(testtools.TestCase):
    """Feeds miss nothing that a restored store was told."""

    # Guards against a feed whose numbers were given out again: it goes on
    # above the changes that it has not seen.
    def test_feed_after_the_counter_has_passed_the_old_version(self) -> None:
        """Refuse to resume from a version of an earlier epoch."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                one.pad(5)
                before = await one.client.read('op')
                one.store.restore(copy, breaks_links=False)
                one.store.write('op', 'config', b'missed')
                one.pad(9)
                with testtools.ExpectedException(HistoryLost):
                    await one.client.changes('op', before.version, 1)

        run_async(body())

    # Guards against a feed that waits on a connection that was kept, for a
    # version that the store does not have any more.
    def test_feed_that_waits_over_a_restoration(self) -> None:
        """Read again once another call has shown the new epoch."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                one.pad(5)
                await one.follow('op')
                one.store.restore(copy, breaks_links=False)
                one.store.write('op', 'config', b'new')
                await one.client.read('other')
                await one.until(lambda: one.told[-1:] == [b'new'])

        run_async(body())

    # Guards against a follower that takes a feed's answer of a new epoch for
    # the continuation of what it has read.
    def test_waiting_feed_that_is_answered_in_the_new_epoch(self) -> None:
        """Read again all that the feed's answer left out."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                one.pad(5)
                await one.follow('op')
                one.store.restore(copy, breaks_links=False)
                one.store.write('op', 'config', b'left-out')
                one.pad(9)
                one.store.write('op', 'other', b'answered')
                await one.until(lambda: b'answered' in one.told)
                await one.until(lambda: b'left-out' in one.told)

        run_async(body())

    # Guards against an epoch that is taken for the first one for good.
    def test_several_restorations(self) -> None:
        """Follow the table over each of three restorations."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                await one.follow('op')
                for content in (b'one', b'two', b'three'):
                    one.pad(5)
                    one.store.write('op', 'config', b'lost')
                    await one.until(lambda: one.told[-1:] == [b'lost'])
                    one.store.restore(copy, breaks_links=False)
                    one.store.write('op', 'config', content)
                    await one.client.read('other')
                    await one.until(lambda: content in one.told)  # noqa: B023

        run_async(body())

    # Guards against rows of before a restoration that come after it.
    def test_late_answer_of_an_earlier_epoch(self) -> None:
        """Discard what was read before a restoration that is known."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                one.store.write('op', 'config', b'lost')
                held = asyncio.Event()
                one.store.switches.held['/rows-get'] = held
                late = asyncio.create_task(one.client.read('op'))
                await one.until(lambda: '/rows-get' in one.store.calls)
                await asyncio.sleep(0.1)
                one.store.restore(copy, breaks_links=False)
                await one.client.put(RowName('t', 'k'), b'v')
                held.set()
                with testtools.ExpectedException(StoreOut):
                    await late

        run_async(body())

    # Guards against a table half of which is read before a restoration.
    def test_restoration_between_two_pages(self) -> None:
        """Raise where the pages of a table are of two epochs."""

        async def body() -> None:
            async with _Store() as one:
                for number in range(501):
                    one.store.write('hosts', f'h{number:03}', b'')
                copy = one.store.copy()
                held = asyncio.Event()
                one.store.switches.held['/rows-get'] = held
                reading = asyncio.create_task(one.client.read('hosts'))
                await one.until(lambda: '/rows-get' in one.store.calls)
                await asyncio.sleep(0.1)
                one.store.restore(copy, breaks_links=False)
                held.set()
                with testtools.ExpectedException(StoreOut):
                    await reading

        run_async(body())

    # Guards against a write that is taken for stored though it was lost.
    def test_late_acknowledgement_of_an_earlier_epoch(self) -> None:
        """Raise where a write was acknowledged before a restoration."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                held = asyncio.Event()
                one.store.switches.held['/rows-tx'] = held
                name = RowName('t', 'k')
                late = asyncio.create_task(one.client.put(name, b'v'))
                await one.until(lambda: ('t', 'k') in one.store.rows)
                await asyncio.sleep(0.1)
                one.store.restore(copy, breaks_links=False)
                await one.client.read('other')
                held.set()
                with testtools.ExpectedException(StoreOut):
                    await late

        run_async(body())

    # Guards against a client that shuts itself out by one wrong number.
    def test_lower_epoch_of_a_store_that_was_replaced(self) -> None:
        """Go on with a store whose epoch is lower than one seen before."""

        async def body() -> None:
            async with _Store() as one:
                one.store.epoch = 70
                await one.follow('op')
                one.store.restore(one.store.copy(), breaks_links=True)
                one.store.epoch = 3
                one.store.write('op', 'config', b'new')
                await one.until(lambda: b'new' in one.told)

        run_async(body())

    def test_missing_and_malformed_epochs(self) -> None:
        """Follow a store whose answers name no epoch, or none to read."""

        async def body() -> None:
            for text in ('', 'x', '-1', '1.5', '9' * 5000):
                async with _Store() as one:
                    one.store.switches.epoch_text = text
                    await one.follow('op')
                    one.store.write('op', 'config', b'new')
                    await one.until(lambda: b'new' in one.told)
                    row = (await one.client.read('op')).rows[0]
                    name = RowName('op', row.key)
                    self.assertTrue(
                        await one.client.remove([name], [row.version])
                    )

        run_async(body())


class RemovalTest(testtools.TestCase):
    """Conditions hold in the epoch in which they were read."""

    # Guards against the removal of another row that got the same number.
    def test_version_that_was_given_out_twice(self) -> None:
        """Abandon a removal under a version of an earlier epoch."""

        async def body() -> None:
            async with _Store() as one:
                copy = one.store.copy()
                one.store.write('hosts', 'h', b'older')
                row = (await one.client.read('hosts')).rows[0]
                one.store.restore(copy, breaks_links=False)
                one.store.write('hosts', 'h', b'newer')
                await one.client.read('op')
                name = RowName('hosts', 'h')
                self.assertFalse(await one.client.remove([name], [row.version]))
                self.assertIn(('hosts', 'h'), one.store.rows)

        run_async(body())


class OwnRowTest(testtools.TestCase):
    """Each host writes again what the store has lost of it."""

    # Guards against a row that says `ready` for good, though the host has
    # acknowledged that its upstream leaves.
    def test_row_of_a_leaving_upstream(self) -> None:
        """Write the own entry again where the copy has an older one."""

        async def body() -> None:
            for breaks_links in (True, False):
                async with SiteFleet(2) as fleet:
                    copy = fleet.store.copy()
                    await fleet.announce(0, UpstreamState.DRAINING)
                    state = _stored_state(fleet, 'host-0')
                    self.assertIs(UpstreamState.DRAINING, state)
                    fleet.store.restore(copy, breaks_links=breaks_links)
                    fleet.store.write('op', 'config', configuration(2))
                    await asyncio.sleep(0.1)
                    await fleet.hosts[0].platform.store.read('other')
                    await fleet.until(
                        lambda: (
                            _stored_state(fleet, 'host-0')
                            is UpstreamState.DRAINING
                        )
                    )

        run_async(body())

    # Guards against hosts that are taken for removed as the copy is older
    # than their rows.
    def test_rows_that_the_copy_lacks(self) -> None:
        """Keep the hosts; each of them writes its row again.

        Three of them follow the table, the others read it now and then.
        """

        async def body() -> None:
            async with SiteFleet(5) as fleet:
                copy = fleet.store.copy()
                rows = {name for name in copy.rows if name[0] == 'hosts'}
                for name in rows:
                    copy.rows.pop(name)
                counts: list[int] = []
                for host in fleet.hosts:
                    host.members.subscribe(_counter(host.members, counts))
                fleet.store.restore(copy, breaks_links=True)
                await fleet.until(lambda: rows <= fleet.store.rows.keys())
                await asyncio.sleep(2)
                self.assertEqual(5, min(counts, default=5))
                self.assertTrue(fleet.all_know())

        run_async(body())

    # Guards against a live host that is lost for good, as a removal that was
    # sent before a restoration was performed after it.
    def test_row_that_a_late_removal_took(self) -> None:
        """Write the own row again with a higher stamp."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                name = ('hosts', 'host-0')
                _content, number = fleet.store.rows[name]
                client = fleet.hosts[1].platform.store
                version = StoreVersion(number, fleet.store.epoch)
                self.assertTrue(
                    await client.remove([RowName(*name)], [version])
                )
                await fleet.until(
                    lambda: fleet.all_know() and name in fleet.store.rows
                )

        run_async(body())

    # Guards against rows of removed hosts that stay once they are back.
    def test_rows_that_the_copy_brings_back(self) -> None:
        """Remove the row of a removed host again."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                removed = 'host-9'
                entry = fleet.store.rows['hosts', 'host-0'][0]
                entry = entry.replace(b'host-0', b'host-9')
                fleet.store.write('hosts', removed, entry)
                await fleet.until(lambda: _all_list(fleet, removed))
                copy = fleet.store.copy()
                row = fleet.store.rows['hosts', removed]
                await fleet.hosts[1].platform.store.remove(
                    [RowName('hosts', removed)],
                    [fleet.hosts[1].members.versions_by_host[removed]],
                )
                self.assertNotIn(('hosts', removed), fleet.store.rows)
                await fleet.until(fleet.all_know)
                fleet.store.restore(copy, breaks_links=True)
                self.assertEqual(row, fleet.store.rows['hosts', removed])
                await fleet.until(
                    lambda: ('hosts', removed) not in fleet.store.rows
                )

        run_async(body())


class StartOnTheCopyTest(testtools.TestCase):
    """A process that starts on the copy learns from peers what it lacks."""

    # Guards against a host that keeps an older configuration as the store
    # answers it with one, though its peers have told it of a newer one.
    def test_older_configuration(self) -> None:
        """Fetch a version from peers that the store has lost."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                copy = fleet.store.copy()
                fleet.store.write('op', 'config', configuration(7))
                await fleet.until(
                    lambda: all(one.policy.version == 7 for one in fleet.hosts)
                )
                fleet.store.restore(copy, breaks_links=True)
                await fleet.hosts[0].__aexit__(None, None, None)
                host = await fleet.start(0)
                await fleet.until(lambda: host.policy.version == 7)

        run_async(body())

    # Guards against an older own row that goes before the newer entry which
    # the peers have of an earlier process.
    def test_older_own_row(self) -> None:
        """Keep what an earlier process of the host acknowledged."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                copy = fleet.store.copy()
                await fleet.announce(0, UpstreamState.DRAINING)
                await fleet.until(_Knows(fleet, UpstreamState.DRAINING))
                fleet.store.restore(copy, breaks_links=True)
                await fleet.hosts[0].__aexit__(None, None, None)
                fleet.upstreams[0].script = _refuse_health
                host = await fleet.start(0, is_announced=False)
                await fleet.until(
                    lambda: (
                        host.members.view.own is not None
                        and host.members.view.digest()
                        == fleet.hosts[1].members.view.digest()
                    )
                )
                state = _known_state(fleet, 1, 'host-0')
                self.assertIs(UpstreamState.DRAINING, state)
                self.assertIsNone(host.register.current)

        run_async(body())

    # Guards against a stamp that is given out twice, as the store has lost
    # the entry that had it: peers keep the former entry for good.
    def test_stamp_of_a_lost_entry(self) -> None:
        """Reach the peers with what the upstream announced after the start."""

        async def body() -> None:
            for slots in (10, 11):
                async with SiteFleet(2) as fleet:
                    copy = fleet.store.copy()
                    await fleet.announce(0, UpstreamState.DRAINING)
                    await fleet.until(_Knows(fleet, UpstreamState.DRAINING))
                    fleet.store.restore(copy, breaks_links=True)
                    await fleet.hosts[0].__aexit__(None, None, None)
                    host = await fleet.start(0, is_announced=False)
                    await host.members.restored()
                    start = fleet.heartbeat(0, slots=slots, born=2)
                    await host.handle_heartbeat(start)
                    await fleet.until(_Knows(fleet, UpstreamState.READY))

        run_async(body())


class _Knows:
    """Tell whether the second host knows the first one in a state."""

    def __init__(self, fleet: SiteFleet, state: UpstreamState) -> None:
        self._fleet = fleet
        self._state = state

    def __call__(self) -> bool:
        return _known_state(self._fleet, 1, 'host-0') is self._state


class _Store:
    """A store with a client, and a table that is followed."""

    def __init__(self) -> None:
        self.store = RowStandIn()
        self.told: list[bytes | None] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> '_Store':
        self.store.write('op', 'config', b'first')
        address = await self._stack.enter_async_context(standing_in(self.store))
        self.client = StoreClient(address)
        self._stack.callback(self.client.close)
        return self

    async def __aexit__(self, *_details: object) -> None:
        await self._stack.aclose()
        await asyncio.sleep(0.05)

    def pad(self, count: int) -> None:
        """Raise the version by rows of another table."""
        for number in range(count):
            self.store.write('padding', f'{number}', b'')

    async def follow(self, table: str) -> None:
        """Follow a table until the end; wait until its feed waits."""
        follower = TableFollower(
            self.client, table, self._tell, self._tell, wait_s=WAIT_S
        )
        task = asyncio.create_task(follower.run())
        self._stack.callback(task.cancel)
        await self.until(lambda: '/rows-feed' in self.store.calls)
        await asyncio.sleep(0.1)

    async def until(self, is_so: Callable[[], bool]) -> None:
        """Wait until something has come about."""
        async with asyncio.timeout(SEEN_DEADLINE_S):
            while not is_so():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def _tell(self, snapshot: Snapshot) -> None:
        self.told.extend(row.content for row in snapshot.rows)


def _counter(members: SiteMembers, counts: list[int]) -> Callable[[], None]:
    return lambda: counts.append(len(members.entries()))


def _stored_state(fleet: SiteFleet, host: str) -> UpstreamState | None:
    content, _version = fleet.store.rows['hosts', host]
    entry = sitewire.decode_entry(content)
    return None if entry is None else entry.place.state


def _known_state(
    fleet: SiteFleet, number: int, host: str
) -> UpstreamState | None:
    entry = fleet.hosts[number].members.view.entries_by_host.get(host)
    return None if entry is None else entry.place.state


def _all_list(fleet: SiteFleet, host: str) -> bool:
    return all(
        host in one.members.view.entries_by_host for one in fleet.hosts
    ) and all(host in one.members.versions_by_host for one in fleet.hosts)


async def _refuse_health(_seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(b'HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n')
