"""A small stand-in of the platform's metadata store.

It speaks the calls that the daemon uses: `rows-get`, `rows-feed` and
`rows-tx`, with switches for what may fail. It can go back to an older copy of
itself, which begins a new epoch: the numbers of its versions are given out
again, and a feed from one that it does not have gets 410.
"""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverlink import ServerLink
from dragonflyknot.exchange.serverrequest import Request

EPOCH_HEADER = 'Store-Era'


@dataclass(frozen=True)
class Copy:
    """Hold what the store held at one moment."""

    rows: dict[tuple[str, str], tuple[bytes, int]]
    history: list[dict[str, Any]]
    version: int
    first: int


@dataclass
class Switches:
    """Say what fails; a status of 0 means that calls are answered.

    Calls that arrive while `silent` is set, or that name `silent_table`, get
    no answer, and their connections stay open. `epoch_text` replaces the text
    of the epoch's header; with an empty text the header is left out. Answers
    to calls of a path in `held` are sent once their event is set.
    """

    status: int = 0
    silent: bool = False
    silent_table: str = ''
    lose_answers: int = 0
    delay_s: float = 0
    epoch_text: str | None = None
    held: dict[str, asyncio.Event] = field(default_factory=dict)


@dataclass
class RowStandIn:
    """Keep rows by table and key, and a history for the feed."""

    rows: dict[tuple[str, str], tuple[bytes, int]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    version: int = 0
    first: int = 0
    epoch: int = 1
    switches: Switches = field(default_factory=Switches)
    calls: list[str] = field(default_factory=list)
    transactions: list[dict[str, Any]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    links: set[ServerLink] = field(default_factory=set)

    def write(self, table: str, key: str, content: bytes) -> None:
        """Write a row, as the operator does."""
        self.version += 1
        self._set(table, key, content)
        self._wake()

    def forget_history(self) -> None:
        """Drop the history, and end the feeds that wait."""
        self.first = self.version + 1
        self.version += 1
        self._wake()

    def copy(self) -> Copy:
        """Return a copy to restore the store from later."""
        return Copy(
            dict(self.rows), list(self.history), self.version, self.first
        )

    def restore(self, copy: Copy, *, breaks_links: bool) -> None:
        """Go back to a copy and begin a new epoch.

        Where the connections are kept, feeds wait on from the versions that
        they named, whether the store still has them or not.
        """
        self.rows = dict(copy.rows)
        self.history = list(copy.history)
        self.version = copy.version
        self.first = copy.first
        self.epoch += 1
        if breaks_links:
            for link in tuple(self.links):
                link.abort()
            self.links.clear()

    async def serve(self, request: Request) -> None:
        """Serve one call."""
        self.links.add(request.link)
        body = await request.body()
        assert isinstance(body, bytes)
        url = urlsplit(request.target.decode())
        fields = {name: one[0] for name, one in parse_qs(url.query).items()}
        self.calls.append(url.path)
        if self._is_silent_for(fields):
            await asyncio.sleep(60)
        if self.switches.delay_s:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.status:
            request.respond(self.switches.status, self._epoch_lines())
            return
        match url.path:
            case '/rows-get':
                status, answer = self._get(fields)
            case '/rows-feed':
                status, answer = await self._feed(fields)
            case _:
                transaction = json.loads(body)
                self.transactions.append(transaction)
                status, answer = self.perform(transaction)
        if self.switches.lose_answers > 0 and url.path == '/rows-tx':
            self.switches.lose_answers -= 1
            request.link.abort()
            request.is_answered = True
            return
        lines = self._epoch_lines()
        if url.path in self.switches.held:
            await self.switches.held[url.path].wait()
        request.respond(status, lines, json.dumps(answer).encode())

    def _is_silent_for(self, fields: dict[str, str]) -> bool:
        switches = self.switches
        return switches.silent or switches.silent_table == fields.get('table')

    def _epoch_lines(self) -> tuple[bytes, ...]:
        text = self.switches.epoch_text
        if text is None:
            text = str(self.epoch)
        return (f'{EPOCH_HEADER}: {text}\r\n'.encode(),) if text else ()

    def _get(self, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        start = fields.get('from', '')
        limit = int(fields.get('limit', '500'))
        found = [
            _row(table, key, content, version)
            for (table, key), (content, version) in sorted(self.rows.items())
            if table == fields['table'] and key >= start
        ]
        page = {'rows': found[:limit], 'has_more': len(found) > limit}
        return 200, {**page, 'ver': self.version, 'now': '1ms'}

    async def _feed(self, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(fields['after'])
        longest_s = int(fields['wait_ms']) / 1000
        if after > self.version:
            return 410, {}
        try:
            async with asyncio.timeout(longest_s):
                while after >= self.first and not self._news(fields, after):
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            pass
        if after < self.first:
            return 410, {}
        news = self._news(fields, after)
        return 200, {'rows': news, 'ver': self.version, 'now': '1ms'}

    def _news(self, fields: dict[str, str], after: int) -> list[dict[str, Any]]:
        return [
            row
            for row in self.history
            if row['table'] == fields['table'] and row['ver'] > after
        ]

    def perform(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Perform a transaction if its conditions hold."""
        for row in body['expected_rev']:
            name = (row['table'], row['key'])
            _content, version = self.rows.get(name, (b'', 0))
            if version != row['ver']:
                return 412, {'rows': []}
        self.version += 1
        for row in body['set_keys']:
            content = base64.b64decode(row['value'])
            self._set(row['table'], row['key'], content)
        for row in body['remove']:
            self.rows.pop((row['table'], row['key']), None)
            gone = {**row, 'ver': self.version, 'removed': True}
            self.history.append(gone)
        self._wake()
        return 200, {'ver': self.version, 'now': '1ms'}

    def _set(self, table: str, key: str, content: bytes) -> None:
        self.rows[table, key] = (content, self.version)
        self.history.append(_row(table, key, content, self.version))

    def _wake(self) -> None:
        self.changed.set()


def _row(table: str, key: str, content: bytes, version: int) -> dict[str, Any]:
    value = base64.b64encode(content).decode()
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': value,
        'ver': version,
    }


@asynccontextmanager
async def standing_in(store: RowStandIn, port: int = 0) -> AsyncIterator[str]:
    """Serve a store on loopback; yield its address."""
    async with serving('127.0.0.1', port, store.serve) as server:
        yield f'127.0.0.1:{server.port}'
