"""Tests of the TCP relay that injects faults between processes."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools

from asyncrun import run_async
from harness.addresses import free_addresses
from harness.relay import (
    Delay,
    Direction,
    Drop,
    Hold,
    Pass,
    RateLimit,
    Relay,
    ResetAfter,
)

DEADLINE_S = 10
SHORT_S = 0.05

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while chunk := await reader.read(1024):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.transport.abort()


class _RelayClient:
    """Hold a relay and the connections that a test opens through it."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self._writers: list[asyncio.StreamWriter] = []

    async def open(self) -> Connection:
        number, _, port = self.relay.address.rpartition(':')
        opened = await asyncio.open_connection(number, int(port))
        self._writers.append(opened[1])
        return opened

    async def close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)


class RelayTest(testtools.TestCase):
    """Faults affect open and new connections until they are healed."""

    def test_bytes_pass_in_both_directions(self) -> None:
        async def body(client: _RelayClient) -> None:
            for fault in (Pass(), Delay(0.001), RateLimit(100_000)):
                client.relay.cause(fault)
                self.assertEqual(
                    b'hello', await _echo_once(await client.open())
                )
            self.assertEqual(3, client.relay.accepted)

        self._run(body)

    def test_open_connections_fall_silent_while_new_ones_work(self) -> None:
        for direction in Direction:
            self._silence(direction)

    def _silence(self, direction: Direction) -> None:
        async def body(client: _RelayClient) -> None:
            old = await client.open()
            await _echo_once(old)
            client.relay.cause_on_open(Drop(), direction)
            await self._assert_silent(old)
            self.assertEqual(b'hello', await _echo_once(await client.open()))

        self._run(body)

    def test_dropped_bytes_are_lost_on_new_connections_too(self) -> None:
        async def body(client: _RelayClient) -> None:
            client.relay.cause(Drop(), Direction.TO_CLIENT)
            connection = await client.open()
            await self._assert_silent(connection)
            client.relay.heal()
            self.assertEqual(b'hello', await _echo_once(connection))

        self._run(body)

    def test_held_bytes_arrive_late(self) -> None:
        async def body(client: _RelayClient) -> None:
            client.relay.cause(Hold(), Direction.TO_TARGET)
            connection = await client.open()
            await self._assert_silent(connection)
            client.relay.heal()
            async with asyncio.timeout(DEADLINE_S):
                answer = await connection[0].readexactly(5)
            self.assertEqual(b'hello', answer)

        self._run(body)

    def test_connection_is_reset_midway(self) -> None:
        async def body(client: _RelayClient) -> None:
            client.relay.cause(ResetAfter(3), Direction.TO_CLIENT)
            reader, writer = await client.open()
            writer.write(b'hello')
            async with asyncio.timeout(DEADLINE_S):
                self.assertEqual(b'hel', await _read_until_closed(reader))

        self._run(body)

    def test_cut_ends_open_connections_and_refuse_new_ones(self) -> None:
        async def body(client: _RelayClient) -> None:
            old = await client.open()
            await _echo_once(old)
            client.relay.cut()
            client.relay.refuse()
            for reader, _ in (old, await client.open()):
                async with asyncio.timeout(DEADLINE_S):
                    self.assertEqual(b'', await _read_until_closed(reader))
            client.relay.heal()
            self.assertEqual(b'hello', await _echo_once(await client.open()))

        self._run(body)

    def test_missing_target_resets_the_connection(self) -> None:
        async def body() -> None:
            async with Relay(free_addresses(1)[0]) as relay:
                client = _RelayClient(relay)
                reader, _ = await client.open()
                self.assertEqual(b'', await _read_until_closed(reader))
                await client.close()

        run_async(body())

    async def _assert_silent(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(SHORT_S):
                answer = await _echo_once(connection)
        except TimeoutError:
            return
        self.fail(f'The connection answered {answer!r}.')

    def _run(self, body: Callable[[_RelayClient], Awaitable[None]]) -> None:
        async def with_relay() -> None:
            server = await asyncio.start_server(_echo, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            async with server, Relay(f'127.0.0.1:{port}') as relay:
                client = _RelayClient(relay)
                try:
                    await body(client)
                finally:
                    await client.close()

        run_async(with_relay())


async def _echo_once(connection: Connection) -> bytes:
    reader, writer = connection
    writer.write(b'hello')
    return await reader.readexactly(5)


async def _read_until_closed(reader: asyncio.StreamReader) -> bytes:
    received = b''
    try:
        while chunk := await reader.read(1024):
            received += chunk
    except OSError:
        pass
    return received
