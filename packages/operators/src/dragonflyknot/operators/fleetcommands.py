"""The commands on the fleet: status, dump and room."""

import asyncio
import signal
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar, Final

from cleo.helpers import option

from dragonflyknot.operators.base import (
    BaseCommand,
    ExitCode,
    Failure,
    Output,
    options_of,
)
from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.flags import DAEMONS, LISTEN, Settings
from dragonflyknot.operators.gather import Gatherer
from dragonflyknot.operators.room import Room, snapshot_members
from dragonflyknot.operators.roomtext import (
    as_text,
    revision_summary,
    troubles,
)
from dragonflyknot.operators.snapshot import Gathered, Snapshot, merge

RATE_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class NobodyAnswered:
    """Say that no daemon gave a dump."""

    addresses: tuple[str, ...]

    def __str__(self) -> str:
        listed = ', '.join(self.addresses) or 'no address'
        return (
            f"No daemon answered at {listed}; pass operators' listeners in"
            ' --daemons and check that the daemons run.'
        )


@dataclass(frozen=True, slots=True)
class BadListen:
    """Say that the listening address is malformed."""

    text: str

    def __str__(self) -> str:
        return f'--listen {self.text!r} is no IP:port, as in 127.0.0.1:8090.'


class StatusCommand(BaseCommand):
    """Say who is there, on which revision and in what state."""

    name = 'status'
    description = 'List the daemons, their revision, state and troubles.'
    flags: ClassVar = (DAEMONS,)
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Report a line for each daemon; incomplete if there is trouble."""
        gathered = await _gathered(settings)
        if not gathered.dump_by_host:
            return _nobody(settings)
        snapshot = merge(1, gathered, None)
        code = ExitCode.INCOMPLETE if troubles(snapshot) else ExitCode.DONE
        return Output(
            '\n'.join(_status_lines(gathered, snapshot)),
            {
                'revision': snapshot.revision,
                'troubles': troubles(snapshot),
                'daemons': [
                    _status_members(dump)
                    for dump in gathered.dump_by_host.values()
                ],
            },
            code,
        )


class DumpCommand(BaseCommand):
    """Print the state dump of every daemon."""

    name = 'dump'
    description = 'Print the state dump of every daemon as JSON.'
    flags: ClassVar = (DAEMONS,)
    options: ClassVar = options_of(*flags)

    async def work(self, settings: Settings) -> Output | Failure:
        """Report the dumps by host."""
        gathered = await _gathered(settings)
        if not gathered.dump_by_host:
            return _nobody(settings)
        texts = [
            dump.model_dump_json(indent=2)
            for dump in gathered.dump_by_host.values()
        ]
        members = {
            host: dump.model_dump(mode='json')
            for host, dump in gathered.dump_by_host.items()
        }
        code = ExitCode.INCOMPLETE if gathered.silent else ExitCode.DONE
        return Output('\n'.join(texts), members, code)


class RoomCommand(BaseCommand):
    """Serve the control-room page, or print it once."""

    name = 'room'
    description = 'Serve the page for the large screen, or print it as text.'
    flags: ClassVar = (DAEMONS, LISTEN)
    options: ClassVar = [
        *options_of(*flags),
        option('text', None, 'Print one snapshot for a terminal'),
    ]

    async def work(self, settings: Settings) -> Output | Failure:
        """Serve until a signal, or report one snapshot."""
        if self.option('text') or self.option('json'):
            return await _one_snapshot(settings)
        listen = _address(settings.text(LISTEN))
        if listen is None:
            error = BadListen(settings.text(LISTEN))
            return Failure(error, ExitCode.BAD_SETTINGS)
        return await _serve(settings.addresses(), listen)


async def _gathered(settings: Settings) -> Gathered:
    async with Gatherer(settings.addresses()) as gatherer:
        return await gatherer.gather()


async def _one_snapshot(settings: Settings) -> Output | Failure:
    async with Gatherer(settings.addresses()) as gatherer:
        before = await gatherer.gather()
        await asyncio.sleep(RATE_INTERVAL_S)
        now = await gatherer.gather()
    if not now.dump_by_host:
        return _nobody(settings)
    snapshot = merge(1, now, before)
    return Output(as_text(snapshot, time.time()), snapshot_members(snapshot))


async def _serve(
    addresses: tuple[str, ...], listen: tuple[str, int]
) -> Output | Failure:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with Room(addresses, listen) as room:
        host, port = room.address
        sys.stderr.write(f'The page is at http://{host}:{port}/\n')
        await stopped.wait()
    return Output('The page has stopped.', {'stopped': True})


def _address(text: str) -> tuple[str, int] | None:
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        return None
    return host.strip('[]'), int(port)


def _nobody(settings: Settings) -> Failure:
    error = NobodyAnswered(settings.addresses())
    return Failure(error, ExitCode.UNREACHABLE)


def _status_lines(gathered: Gathered, snapshot: Snapshot) -> Iterator[str]:
    yield revision_summary(snapshot)
    for trouble in troubles(snapshot):
        yield f'! {trouble}'
    for dump in gathered.dump_by_host.values():
        ready = 'ready' if dump.ready else 'not ready'
        yield (
            f'{dump.host:<24}{dump.region:<12}{dump.data_center:<12}'
            f'{dump.revision.number:>8}  {dump.state.value:<10}{ready}'
        )


def _status_members(dump: Dump) -> dict[str, object]:
    return {
        'host': dump.host,
        'incarnation': dump.incarnation,
        'data_center': dump.data_center,
        'region': dump.region,
        'revision': dump.revision.number,
        'digest': dump.revision.digest,
        'state': dump.state.value,
        'ready': dump.ready,
    }
