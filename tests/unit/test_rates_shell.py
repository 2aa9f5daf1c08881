"""Check the shell that joins the rate machines to table and peers."""

import asyncio
from contextlib import AsyncExitStack

import testtools

from asyncrun import run_async
from dragonflyknot.callers.ports import RateRefused
from dragonflyknot.daemon.leasetable import LeaseTable
from dragonflyknot.daemon.rates import Rates, RateSettings
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Configuration, Workspace
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, SpentToken
from dragonflyknot.decisions.leasemessages import (
    AnswerWitness,
    DeleteHeartbeat,
    HeartbeatRow,
    LeaseSettings,
    RowsRead,
    RowsReadFailed,
    RowWriteApplied,
    RowWriteRejected,
    RowWriteUnresolved,
    ShardRow,
    WriteHeartbeat,
    WriteShard,
)
from dragonflyknot.decisions.members import Member
from dragonflyknot.decisions.quota import QuotaSettings
from dragonflyknot.stores.embedded import EmbeddedTable
from dragonflyknot.stores.switches import Switches

WORKSPACE = 'acme'
SHARDS = 2
LEASES = LeaseSettings(shards=SHARDS)
CONFIGURATION = Configuration(
    workspaces_by_name={WORKSPACE: Workspace(WORKSPACE, 1000, 1000)}
)


class LocalClient:
    """Call the other daemons of a test directly."""

    def __init__(self) -> None:
        self.rates_by_host: dict[str, Rates] = {}

    async def ask(self, host: str, request: GrantRequest) -> GrantAnswer | None:
        await asyncio.sleep(0)
        return await self.rates_by_host[host].answer_grant(request)

    async def ask_witness(self, host: str, holder: str) -> AnswerWitness | None:
        await asyncio.sleep(0)
        return await self.rates_by_host[host].answer_witness(holder)

    async def nudge(self, host: str) -> None:
        await self.rates_by_host[host].nudged()


def member(host: str, incarnation: int = 1) -> Member:
    return Member(
        host, incarnation, 0, host, 'r', '', '', '', UpstreamState.READY
    )


def make_rates(host: str, table: EmbeddedTable, client: LocalClient) -> Rates:
    settings = RateSettings(
        host=host,
        incarnation=1,
        data_center=host,
        region='r',
        environment='trial',
        quota=QuotaSettings(shards=SHARDS),
        leases=LEASES,
    )
    rates = Rates(settings, table, client)
    client.rates_by_host[host] = rates
    rates.configure(CONFIGURATION)
    return rates


async def spend_soon(rates: Rates) -> SpentToken:
    """Ask until a token is there."""
    while True:
        outcome = await rates.spend(WORKSPACE, 'q', float('inf'))
        if isinstance(outcome, SpentToken):
            return outcome
        await asyncio.sleep(0.02)


class RatesTest(testtools.TestCase):
    """Spend, wait, move tokens and release."""

    def test_two_daemons_share_the_shards_and_their_tokens(self) -> None:
        async def body() -> None:
            table, client = EmbeddedTable(), LocalClient()
            async with AsyncExitStack() as stack:
                for host in ('a', 'b'):
                    rates = make_rates(host, table, client)
                    for other in ('a', 'b'):
                        rates.member_changed(member(other))
                    await stack.enter_async_context(rates)
                for rates in client.rates_by_host.values():
                    spent = await spend_soon(rates)
                    self.assertEqual(WORKSPACE, spent.workspace)

        run_async(body())

    def test_a_daemon_that_stops_leaves_its_shards_to_the_next(self) -> None:
        async def body() -> None:
            table, client = EmbeddedTable(), LocalClient()
            async with make_rates('a', table, client) as rates:
                await spend_soon(rates)
            async with make_rates('b', table, client) as rates:
                await spend_soon(rates)

        run_async(body())

    def test_a_further_incarnation_takes_its_shards_anew(self) -> None:
        async def body() -> None:
            table, client = EmbeddedTable(), LocalClient()
            async with make_rates('a', table, client) as rates:
                await spend_soon(rates)
                rates.adopt(2)
                refused = await rates.spend(WORKSPACE, 'q', float('inf'))
                self.assertIsInstance(refused, RateRefused)
                await spend_soon(rates)

        run_async(body())

    def test_a_fleet_with_another_layout_is_left_alone(self) -> None:
        async def body() -> None:
            table = EmbeddedTable()
            other = LeaseTable(table, 'trial', LeaseSettings(shards=3))
            await other.agree()
            same = await other.agree()
            self.assertTrue(same.ok())
            differs = await LeaseTable(table, 'trial', LEASES).agree()
            self.assertFalse(differs.unwrap())

        run_async(body())

    def test_waiting_requests_are_refused_at_the_end(self) -> None:
        async def body() -> None:
            table = EmbeddedTable(Switches(down=True))
            rates = make_rates('a', table, LocalClient())
            async with rates:
                outcome = await rates.spend(WORKSPACE, 'q', float('inf'))
                self.assertIsInstance(outcome, RateRefused)

        run_async(body())


class LeaseTableTest(testtools.TestCase):
    """Write rows on condition of their versions."""

    def test_rows_come_back_as_they_were_written(self) -> None:
        async def body() -> None:
            rows = LeaseTable(EmbeddedTable(), 'trial', LEASES)
            shard = WriteShard(ShardRow(0, 'h/1/1', 'h/1', 1), None)
            heartbeat = WriteHeartbeat(
                HeartbeatRow('h/1/1', 'h/1', 1, 'w/1'), None
            )
            self.assertEqual(RowWriteApplied(shard), await rows.write(shard))
            await rows.write(heartbeat)
            expected = RowsRead(5, (shard.row,), (heartbeat.row,))
            self.assertEqual(expected, await rows.read(5))

        run_async(body())

    def test_a_changed_row_refuses_the_write(self) -> None:
        async def body() -> None:
            table = EmbeddedTable()
            ours = LeaseTable(table, 'trial', LEASES)
            theirs = LeaseTable(table, 'trial', LEASES)
            row = HeartbeatRow('h/1/1', 'h/1', 1, 'w/1')
            await ours.write(WriteHeartbeat(row, None))
            await theirs.read(0)
            dead = HeartbeatRow('h/1/1', 'h/1', 2, 'w/1', dead=True)
            renewed = HeartbeatRow('h/1/1', 'h/1', 2, 'w/1')
            await ours.write(WriteHeartbeat(renewed, 1))
            fence = WriteHeartbeat(dead, 1)
            self.assertEqual(RowWriteRejected(fence), await theirs.write(fence))

        run_async(body())

    def test_a_dead_row_can_be_deleted(self) -> None:
        async def body() -> None:
            rows = LeaseTable(EmbeddedTable(), 'trial', LEASES)
            dead = HeartbeatRow('h/1/1', 'h/1', 1, '', dead=True)
            await rows.write(WriteHeartbeat(dead, None))
            await rows.write(DeleteHeartbeat(dead))
            self.assertEqual(RowsRead(1, (), ()), await rows.read(1))

        run_async(body())

    def test_a_store_that_is_out_answers_nothing(self) -> None:
        async def body() -> None:
            table = EmbeddedTable(Switches(down=True))
            rows = LeaseTable(table, 'trial', LEASES)
            write = WriteShard(ShardRow(0, 'h/1/1', 'h/1', 1), None)
            self.assertEqual(RowWriteUnresolved(write), await rows.write(write))
            self.assertEqual(RowsReadFailed(), await rows.read(0))

        run_async(body())
