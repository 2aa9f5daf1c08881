"""An upstream that answers as it is told, and remembers what it ran."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

STALL_S = 60


@dataclass(frozen=True)
class Seen:
    """Hold one request that reached the upstream."""

    line: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[Seen, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class FakeUpstream:
    """Serve requests with a script; the default answers whole.

    Connections that open while `is_stalled` is set are not read. While
    `answers_early` is set, an answer precedes the body, which is not read.
    """

    instance: str = 'i-1'
    seen: list[Seen] = field(default_factory=list)
    script: Script | None = None
    dropped: int = 0
    is_stalled: bool = False
    answers_early: bool = False
    connections: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            if self.is_stalled:
                await asyncio.sleep(STALL_S)
            while (seen := await self._read(reader)) is not None:
                self.seen.append(seen)
                await (self.script or answer)(seen, writer)
                await writer.drain()
                if self.answers_early:
                    await asyncio.sleep(STALL_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.dropped += 1
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Seen | None:
        return await _read(reader, has_body=not self.answers_early)

    @asynccontextmanager
    async def listening(self, port: int) -> AsyncIterator[None]:
        """Listen on loopback."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        try:
            yield
        finally:
            server.close()


def whole(
    seen: Seen, body: bytes = b'ok', status: str = '200 OK', extra: str = ''
) -> bytes:
    """Return a whole signed answer."""
    request_id = seen.headers.get('attempt-id', '')
    head = (
        f'HTTP/1.1 {status}\r\nAttempt-Id: {request_id}\r\n'
        f'Response-Signature: s\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer whole."""
    writer.write(whole(seen))


async def _read(reader: asyncio.StreamReader, *, has_body: bool) -> Seen | None:
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while (text := (await reader.readline()).decode().strip()) != '':
        name, _colon, value = text.partition(':')
        headers[name.lower()] = value.strip()
    body = b''
    if not has_body:
        return Seen(line.decode().strip(), headers, body)
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding') == 'chunked':
        body = await _chunks(reader)
    return Seen(line.decode().strip(), headers, body)


async def _chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while (size := int((await reader.readline()).strip(), 16)) > 0:
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b''.join(parts)
