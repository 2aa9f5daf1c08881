"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

ANSWER_BYTES = 16 * 1024 * 1024


@dataclass
class Message:
    """Hold a request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the path and the query of a request."""
        return self.first_line.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message. Raise IncompleteReadError at the end."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = text[:-4].split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): value.strip() for name, _colon, value in pairs}
    return Message(first_line, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message that has a length or chunks."""
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        return await _read_chunks(reader)
    length = int(message.headers.get('content-length', '0'))
    return await reader.readexactly(length)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


def encode(first_line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message with a length."""
    lines = [first_line, *(f'{name}: {one}' for name, one in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


Handler = Callable[[Message], Awaitable[bytes]]


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Answer requests on an address, one at a time on each connection."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                writer.write(await handler(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer or this script has ended.
        finally:
            writer.transport.abort()

    ip, _colon, port = address.rpartition(':')
    return await asyncio.start_server(connected, ip, int(port))


async def exchange(
    address: str, content: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a new connection; return the answer, if any."""
    ip, _colon, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(content)
                answer = await read_head(reader)
                answer.body = await read_body(reader, answer)
                return answer
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


def now() -> float:
    """Return the time that all records use, in seconds."""
    return time.monotonic()
