"""A stand-in of an application target beside one daemon."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from common.record import Record
from common.wire import Message, encode, exchange, read_message

BEAT_S = 1.5
ACK_S = 1.0
IDLE_S = 10.0


@dataclass
class Place:
    """Hold where a target is and what it serves."""

    name: str
    service: str
    address: str
    admin: str
    zone: str = 'taipei-a'


class Target:
    """Work on `slots` requests at once and queue a few more.

    It drops a request when its connection closes, rejects what finds the
    queue full, and announces itself to the daemon beside it.
    """

    def __init__(
        self,
        place: Place,
        record: Record,
        *,
        slots: int,
        queue: int,
        work_s: Callable[[], float],
    ) -> None:
        """Start as ready, without listening."""
        self.place = place
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.instance = f'i-{place.name}-{self.born}'
        self.sequence = 0
        self.state = 'ready'
        self.working = 0
        self.waiting = 0
        self.read_pause_s = 0.0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.send_beat: Callable[[bytes], Awaitable[bool]] = self._send

    async def start(self) -> None:
        """Listen."""
        ip, _colon, port = self.place.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def exit(self) -> None:
        """End as a process does; what is at work is lost."""
        self.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def beat_on(self) -> None:
        """Send heartbeats until cancelled or left."""
        while self.state != 'gone':
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        return await self.send_beat(self.encode_beat())

    def encode_beat(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        content = {
            'service': self.place.service,
            'address': self.place.address,
            'zone': self.place.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left': '0ms',
            'sequence': self.sequence,
            'born': self.born,
        }
        return encode(
            f'POST /Instances.Heartbeat/{self.instance} HTTP/1.1',
            {'Host': 'admin', 'Content-Type': 'application/json'},
            json.dumps(content).encode(),
        )

    async def deregister(self) -> bool:
        """Deregister; return whether that was acknowledged."""
        self.state = 'gone'
        return await self._send(
            encode(
                f'POST /Instances.Deregister/{self.instance} HTTP/1.1',
                {'Host': 'admin', 'Content-Type': 'application/json'},
                json.dumps({'born': self.born}).encode(),
            )
        )

    async def _send(self, message: bytes) -> bool:
        try:
            answer = await exchange(self.place.admin, message, ACK_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return 200 <= answer.status < 300

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    request = await read_message(
                        reader, self.read_pause_s
                    )
                if request is None:
                    return
                writer.write(await self._answer_while_open(request, reader))
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except _ClosedError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_while_open(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        """Answer; drop the request when its connection closes."""
        answering = asyncio.ensure_future(self._answer(request))
        closing = asyncio.ensure_future(_until_closed(reader))
        try:
            await asyncio.wait(
                (answering, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if answering.done():
                return answering.result()
            raise _ClosedError
        finally:
            closing.cancel()
            answering.cancel()
            await asyncio.gather(answering, closing, return_exceptions=True)

    async def _answer(self, request: Message) -> bytes:
        if request.path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            named = {'Instance-Id': self.instance}
            return encode(f'HTTP/1.1 {status} Health', named)
        attempt = request.headers.get('attempt-id', '')
        expected = request.headers.get('expected-instance', self.instance)
        if expected != self.instance:
            self.record.write('misdirected', attempt, self.place.name)
            return encode(
                'HTTP/1.1 421 Misdirected Request',
                {'Instance-Id': self.instance, 'Attempt-Id': attempt},
            )
        if self._free.locked() and self.waiting >= self.queue:
            self.record.write('rejected', attempt, self.place.name)
            return encode(
                'HTTP/1.1 503 Service Unavailable',
                {'Not-Executed': '1', 'Attempt-Id': attempt},
            )
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.working += 1
        try:
            self.record.ran(attempt, self.place.name, request)
            await asyncio.sleep(self.work_s())
        finally:
            self.working -= 1
            self._free.release()
        return encode(
            'HTTP/1.1 200 OK',
            {'Attempt-Id': attempt, 'Response-Signature': f's.{attempt}'},
            f'body of {attempt}'.encode(),
        )


class _ClosedError(Exception):
    """Raised when the caller has closed the connection."""


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Return when the peer has closed; a peer sends one request at a time."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
