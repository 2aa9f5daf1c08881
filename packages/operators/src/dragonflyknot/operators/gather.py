"""Fetch the state dumps of a fleet.

The given addresses are asked first, then the members that they name.
"""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

import aiohttp
from pydantic import ValidationError
from result import Err, Ok, Result

from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.snapshot import Gathered

DUMP_PATH: Final = '/dump'
DUMP_DEADLINE_S: Final = 2.0
MAX_DUMP_BYTES: Final = 16_777_216
MAX_DAEMONS: Final = 1024
MAX_CONNECTIONS: Final = 64


@dataclass(frozen=True, slots=True)
class NoDump:
    """Say that a daemon gave no dump."""

    address: str
    reason: str

    def __str__(self) -> str:
        return (
            f'No dump came from {self.address} ({self.reason}); check that the'
            " daemon runs and that this is its operators' listener."
        )


class Gatherer:
    """Own the session that fetches dumps; a context manager."""

    def __init__(self, addresses: Iterable[str]) -> None:
        """Ask the daemons at `addresses` (IP:port) first."""
        self._seeds = tuple(addresses)

    async def __aenter__(self) -> Self:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=DUMP_DEADLINE_S),
            connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the session."""
        await self._session.close()

    async def gather(self) -> Gathered:
        """Return the dumps of every daemon that can be found."""
        asked: set[str] = set()
        silent: list[str] = []
        dump_by_host: dict[str, Dump] = {}
        waiting = set(self._seeds)
        while waiting and len(asked) < MAX_DAEMONS:
            asked |= waiting
            answers = await asyncio.gather(*map(self.fetch, sorted(waiting)))
            silent.extend(_silent(answers))
            dump_by_host.update(_dumps(answers))
            waiting = _addresses(dump_by_host.values()) - asked
        return Gathered(time.time(), dump_by_host, tuple(sorted(silent)))

    async def fetch(self, address: str) -> Result[Dump, NoDump]:
        """Return the dump of the daemon at an address."""
        try:
            return Ok(Dump.model_validate_json(await self._read(address)))
        except ValidationError:
            return Err(NoDump(address, 'a dump of another layout'))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Err(NoDump(address, type(error).__name__))

    async def _read(self, address: str) -> bytes:
        url = f'http://{address}{DUMP_PATH}'
        async with self._session.get(url) as response:
            response.raise_for_status()
            content = await response.content.read(MAX_DUMP_BYTES)
            while not response.content.at_eof():
                content += await response.content.read(MAX_DUMP_BYTES)
                if len(content) > MAX_DUMP_BYTES:
                    raise ValueError('the dump is too long')
            return content


def _silent(answers: Iterable[Result[Dump, NoDump]]) -> list[str]:
    errors = (answer.err() for answer in answers)
    return [error.address for error in errors if error is not None]


def _dumps(answers: Iterable[Result[Dump, NoDump]]) -> dict[str, Dump]:
    dumps = (answer.ok() for answer in answers)
    return {dump.host: dump for dump in dumps if dump is not None}


def _addresses(dumps: Iterable[Dump]) -> set[str]:
    return {
        member.operators
        for dump in dumps
        for member in dump.members
        if member.operators
    }
