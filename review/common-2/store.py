"""A stand-in of the platform's metadata store."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import http1

JSON = {'Content-Type': 'application/json'}


class Store:
    """Keep rows in tables; answer `rows-get`, `rows-feed` and `rows-tx`."""

    def __init__(self) -> None:
        """Start without rows; `before` is awaited before each call."""
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.before: Callable[[http1.Message], Awaitable[None]] | None = None

    async def write(self, table: str, key: str, content: bytes) -> None:
        """Write a row, as the operator does."""
        value = base64.b64encode(content).decode()
        await self._apply([{'table': table, 'key': key, 'value': value}], [])

    def content(self, table: str, key: str) -> bytes | None:
        """Return the content of a row."""
        row = self.rows.get((table, key))
        return None if row is None else base64.b64decode(row[0])

    async def handle(self, request: http1.Message) -> bytes:
        """Answer one call."""
        if self.before is not None:
            await self.before(request)
        url = urlsplit(request.target)
        asked = {name: one[0] for name, one in parse_qs(url.query).items()}
        status, answer = 404, {}
        match url.path:
            case '/rows-get':
                status, answer = 200, self._get(asked)
            case '/rows-feed':
                status, answer = 200, await self._feed(asked)
            case '/rows-tx':
                status, answer = await self._transact(json.loads(request.body))
        line = f'HTTP/1.1 {status} Status'
        return http1.encode(line, JSON, json.dumps(answer).encode())

    def _get(self, asked: dict[str, str]) -> dict[str, Any]:
        start, end = asked.get('from', ''), asked.get('target')
        limit = int(asked.get('limit', '500'))
        found = [
            _row(table, key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == asked['table']
            and key >= start
            and (end is None or key < end)
        ]
        return {
            'rows': found[:limit],
            'has_more': len(found) > limit,
            **self._version(),
        }

    async def _feed(self, asked: dict[str, str]) -> dict[str, Any]:
        after = int(asked['after'])

        def news() -> list[dict[str, Any]]:
            return [
                row
                for row in self.history
                if row['table'] == asked['table'] and row['ver'] > after
            ]

        try:
            async with asyncio.timeout(int(asked['wait_ms']) / 1000):
                async with self.changed:
                    await self.changed.wait_for(news)
        except TimeoutError:
            pass
        return {'rows': news(), **self._version()}

    async def _transact(
        self, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        for row in call.get('expected_rev', []):
            known = self.rows.get((row['table'], row['key']))
            if (0 if known is None else known[1]) != row['ver']:
                return 412, {'rows': []}
        await self._apply(call.get('set_keys', []), call.get('remove', []))
        return 200, self._version()

    async def _apply(
        self, written: list[dict[str, Any]], removed: list[dict[str, Any]]
    ) -> None:
        self.version += 1
        for row in written:
            name = row['table'], row['key']
            self.rows[name] = row['value'], self.version
            self.history.append(_row(*name, row['value'], self.version))
        for row in removed:
            self.rows.pop((row['table'], row['key']), None)
            gone = _row(row['table'], row['key'], '', self.version)
            self.history.append({**gone, 'removed': True})
        async with self.changed:
            self.changed.notify_all()

    def _version(self) -> dict[str, Any]:
        return {'ver': self.version, 'now': f'{int(http1.now() * 1000)}ms'}


def _row(table: str, key: str, value: str, version: int) -> dict[str, Any]:
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': value,
        'ver': version,
    }
