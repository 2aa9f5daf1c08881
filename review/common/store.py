"""A stand-in of the platform's metadata store: rows-get, rows-feed, rows-tx."""

import asyncio
import base64
import functools
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from common.wire import Message, encode, read_message

TRANSACTION_S = 0.005
ANSWER_S = 0.004


class Store:
    """Keep rows by table and key, and a history for the feed.

    Calls of machines in `turned_away` get no response; calls that they made
    before do.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self.turned_away: set[str] = set()

    async def listen(self, machine: str) -> str:
        """Listen for one machine on a free port; return the address."""
        server = await asyncio.start_server(
            functools.partial(self._serve, machine), '127.0.0.1', 0
        )
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row, as the operator does."""
        async with self._changed:
            self.version += 1
            self._set(table, key, base64.b64encode(content).decode())
            self._changed.notify_all()

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if machine in self.turned_away:
                    # No response, and nothing further on this connection.
                    await reader.read()
                    return
                status, answer = await self._answer(request)
                content = json.dumps(answer).encode()
                headers = {'Content-Type': 'application/json'}
                writer.write(encode(f'HTTP/1.1 {status} X', headers, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.path)
        fields = {name: one[0] for name, one in parse_qs(url.query).items()}
        if url.path == '/rows-get':
            await asyncio.sleep(ANSWER_S)
            return 200, self._get(fields)
        if url.path == '/rows-feed':
            return 200, await self._feed(fields)
        if url.path == '/rows-tx':
            await asyncio.sleep(TRANSACTION_S)
            return await self._transact(json.loads(request.body))
        return 404, {}

    def _get(self, fields: dict[str, str]) -> dict[str, Any]:
        limit = int(fields.get('limit', '500'))
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == fields['table'] and key >= fields.get('from', '')
        ]
        return self._dated(
            {'rows': found[:limit], 'has_more': len(found) > limit}
        )

    async def _feed(self, fields: dict[str, str]) -> dict[str, Any]:
        after = int(fields['after'])

        def news() -> list[dict[str, Any]]:
            return [
                row
                for row in self.history
                if row['table'] == fields['table'] and row['ver'] > after
            ]

        try:
            async with asyncio.timeout(int(fields['wait_ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: bool(news()))
        except TimeoutError:
            pass
        return self._dated({'rows': news()})

    async def _transact(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        async with self._changed:
            for row in body['expected_rev']:
                known = self.rows.get((row['table'], row['key']))
                if (known['ver'] if known else 0) != row['ver']:
                    return 412, {'rows': [known] if known else []}
            self.version += 1
            for row in body['set_keys']:
                self._set(row['table'], row['key'], row['value'])
            for row in body['remove']:
                self.rows.pop((row['table'], row['key']), None)
                gone = {**row, 'ver': self.version, 'removed': True}
                self.history.append(gone)
            self._changed.notify_all()
        return 200, self._dated({})

    def _set(self, table: str, key: str, value: str) -> None:
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'ver': self.version,
        }
        self.rows[table, key] = row
        self.history.append(row)

    def _dated(self, answer: dict[str, Any]) -> dict[str, Any]:
        now = f'{int(time.monotonic() * 1000)}ms'
        return {**answer, 'ver': self.version, 'now': now}
