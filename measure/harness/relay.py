"""A TCP relay between two processes that causes faults on demand.

A relay passes the bytes of each connection on to its target. A fault stands
for one direction, on all connections or only on those that are open now, so
that old connections fall silent while new ones work.
"""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, unique
from types import TracebackType

from harness.addresses import free_addresses

CHUNK_BYTES = 16 * 1024
BACKLOG_CONNECTIONS = 2048


@unique
class Direction(Enum):
    """Name a direction; the client is whoever connected to the relay."""

    TO_TARGET = 'to-target'
    TO_CLIENT = 'to-client'


@dataclass(frozen=True, slots=True)
class Pass:
    """Pass everything on at once."""


@dataclass(frozen=True, slots=True)
class Delay:
    """Pass everything on after `seconds`."""

    seconds: float


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Pass on at most `bytes_per_s`."""

    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class Drop:
    """Take everything and pass nothing on, while connections stay open."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Keep everything back until the fault changes, then pass it on."""


@dataclass(frozen=True, slots=True)
class ResetAfter:
    """Pass on `size_bytes` of each connection and then reset it."""

    size_bytes: int


Fault = Pass | Delay | RateLimit | Drop | Hold | ResetAfter


@dataclass(slots=True, eq=False)
class _Pump:
    """Carry one direction of a connection under a fault."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    fault: Fault
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    passed_bytes: int = 0

    def change(self, fault: Fault) -> None:
        self.fault = fault
        self.changed.set()

    async def run(self) -> None:
        while chunk := await self.reader.read(CHUNK_BYTES):
            await self._carry(chunk)
        await self._wait_while_kept()
        if self.writer.can_write_eof():
            self.writer.write_eof()

    async def _carry(self, chunk: bytes) -> None:
        await self._wait_while_held()
        match self.fault:
            case Drop():
                return
            case Delay(seconds):
                await asyncio.sleep(seconds)
            case RateLimit(bytes_per_s):
                await asyncio.sleep(len(chunk) / bytes_per_s)
            case ResetAfter(size_bytes):
                await self._carry_some(chunk, size_bytes)
                return
            case Pass() | Hold():
                pass  # A held chunk goes on once the fault has changed.
        await self._write(chunk)

    async def _carry_some(self, chunk: bytes, size_bytes: int) -> None:
        room = max(0, size_bytes - self.passed_bytes)
        await self._write(chunk[:room])
        if self.passed_bytes >= size_bytes:
            raise ConnectionResetError('The relay resets this connection.')

    async def _write(self, chunk: bytes) -> None:
        self.passed_bytes += len(chunk)
        self.writer.write(chunk)
        await self.writer.drain()

    async def _wait_while_held(self) -> None:
        while isinstance(self.fault, Hold):
            await self._next_change()

    async def _wait_while_kept(self) -> None:
        """Hide the end of the stream from a side that must see silence."""
        while isinstance(self.fault, Hold | Drop):
            await self._next_change()

    async def _next_change(self) -> None:
        self.changed.clear()
        await self.changed.wait()


class Relay:
    """Relay connections to a target until the context ends."""

    def __init__(self, target: str, address: str = '') -> None:
        """Choose the target and the own address, both as IP:port."""
        self.target = target
        self.address = address or free_addresses(1)[0]
        self.accepted = 0
        self._is_refusing = False
        self._faults_by_direction: dict[Direction, Fault] = {
            direction: Pass() for direction in Direction
        }
        self._pumps_by_direction: dict[Direction, set[_Pump]] = {
            direction: set() for direction in Direction
        }
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> 'Relay':
        """Listen."""
        number, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, number, int(port), backlog=BACKLOG_CONNECTIONS
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self.cut()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open now."""
        return len(self._tasks)

    def passed_bytes(self, direction: Direction) -> int:
        """Return the bytes that open connections have passed on."""
        pumps = self._pumps_by_direction[direction]
        return sum(pump.passed_bytes for pump in pumps)

    def cause(self, fault: Fault, *directions: Direction) -> None:
        """Put a fault on all connections, present and new."""
        for direction in directions or tuple(Direction):
            self._faults_by_direction[direction] = fault
        self.cause_on_open(fault, *directions)

    def cause_on_open(self, fault: Fault, *directions: Direction) -> None:
        """Put a fault on the connections that are open now."""
        for direction in directions or tuple(Direction):
            for pump in self._pumps_by_direction[direction]:
                pump.change(fault)

    def heal(self) -> None:
        """Pass everything on again and accept new connections."""
        self._is_refusing = False
        self.cause(Pass())

    def refuse(self) -> None:
        """Reset new connections at once."""
        self._is_refusing = True

    def cut(self) -> None:
        """Reset all connections that are open now."""
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        if self._is_refusing or task is None:
            writer.transport.abort()
            return
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            return  # A cut or broken connection ends here, for both sides.
        finally:
            self._close(writer)
            self._tasks.discard(task)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number, _, port = self.target.rpartition(':')
        target = await asyncio.open_connection(number, int(port))
        target_reader, target_writer = target
        self._writers.add(target_writer)
        pumps_by_direction = {
            Direction.TO_TARGET: self._pump(
                Direction.TO_TARGET, reader, target_writer
            ),
            Direction.TO_CLIENT: self._pump(
                Direction.TO_CLIENT, target_reader, writer
            ),
        }
        try:
            await _run_all(list(pumps_by_direction.values()))
        finally:
            for direction, pump in pumps_by_direction.items():
                self._pumps_by_direction[direction].discard(pump)
            self._close(target_writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()
        self._writers.discard(writer)

    def _pump(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> _Pump:
        pump = _Pump(reader, writer, self._faults_by_direction[direction])
        self._pumps_by_direction[direction].add(pump)
        return pump


async def _run_all(pumps: list[_Pump]) -> None:
    try:
        async with asyncio.TaskGroup() as group:
            for pump in pumps:
                group.create_task(pump.run())
    except* OSError as broken:
        raise ConnectionResetError('A side broke off.') from broken
