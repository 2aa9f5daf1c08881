"""Run the operators' command line against real daemons."""

import asyncio
import io
import json
import os
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

import aiohttp
import testtools
from cleo.io.inputs.argv_input import ArgvInput

from asyncrun import run_async
from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.main import application
from harness.fleet import Fleet, HostSpec

EXAMPLES = Path(__file__).parents[2] / 'examples'
JADELEAF = (EXAMPLES / 'jadeleaf.toml').read_text()
HOSTS = [
    HostSpec('host-1', 'hsinchu-1', 'north', 'profile'),
    HostSpec('host-2', 'hsinchu-2', 'north', 'booking'),
    HostSpec('host-3', 'tainan-1', 'south', 'profile'),
]


class OperatorsFleetTest(testtools.TestCase):
    """Documents and keys take effect on daemons, and the room shows it."""

    def test_change_is_promoted_and_key_is_withdrawn(self) -> None:
        run_async(self._check())

    async def _check(self) -> None:
        async with Fleet(HOSTS, JADELEAF) as fleet:
            changed = fleet.folder / 'changed.toml'
            changed.write_text(JADELEAF.replace('rate = 900', 'rate = 901'))
            await self._promote(fleet, str(changed))
            key = await fleet.issue_key('harbour-audio')
            await self._wait_for(fleet, key, 200)
            room = await _run(fleet, 'room', '--text')
            await self._withdraw(fleet, key)
            await self._wait_for(fleet, key, 401)
            dump = await _run(fleet, 'dump', '--json')
            status = await _run(fleet, 'status', '--json')
            self.assertIn('revision 2 on all 3 daemons', room)
            self.assertIn('harbour-audio', dump)
            self.assertEqual(json.loads(status)['revision'], 2)
            self.assertNotIn(key, dump + room + status)
            await self._see_outage(fleet)

    async def _see_outage(self, fleet: Fleet) -> None:
        await fleet.switch_platform(down=True)
        is_up = True
        while is_up:
            dump = Dump.model_validate(await fleet.dump('host-1'))
            is_up = dump.store.table_up
            await asyncio.sleep(0.1)

    async def _promote(self, fleet: Fleet, path: str) -> None:
        tried = json.loads(await _run(fleet, 'try', path, '--json', seeds=0))
        text = await _run(
            fleet, 'promote', '--base', '1', '--json', '--wait=20'
        )
        promoted = json.loads(text)
        self.assertEqual(promoted['digest'], tried['digest'])
        self.assertEqual(
            promoted['in_force']['hosts'], ['host-1', 'host-2', 'host-3']
        )

    async def _withdraw(self, fleet: Fleet, key: str) -> None:
        text = await _run(fleet, 'key', 'withdraw', key, '--json')
        announced = json.loads(text)['announced']
        self.assertGreaterEqual(announced['told'], announced['needed'])

    async def _wait_for(self, fleet: Fleet, key: str, status: int) -> None:
        """Ask every daemon until it answers with a status."""
        headers = {'Authorization': f'Bearer {key}'}
        async with aiohttp.ClientSession(headers=headers) as session:
            for spec in HOSTS:
                url = f'http://{fleet.callers(spec.host)}/narrators/1'
                while await _status(session, url) != status:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)


async def _status(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as answer:
        await answer.read()
        return answer.status


async def _run(fleet: Fleet, *words: str, seeds: int = 1) -> str:
    """Return the output of a command that names some of the daemons."""
    addresses = [
        fleet.addresses_by_host[spec.host].operators for spec in HOSTS[:seeds]
    ]
    endpoint = f'http://{fleet.platform_address}'
    environ = {
        'DRAGONFLYKNOT_TABLE_ENDPOINT': endpoint,
        'DRAGONFLYKNOT_OBJECTS_ENDPOINT': endpoint,
        'DRAGONFLYKNOT_ACCESS_KEY': 'access',
        'DRAGONFLYKNOT_SECRET_KEY': 'secret',
        'DRAGONFLYKNOT_OPERATOR': 'ada',
        'DRAGONFLYKNOT_ENVIRONMENT': 'production',
        'DRAGONFLYKNOT_DAEMONS': ','.join(addresses),
    }
    return await asyncio.to_thread(_run_here, words, environ)


def _run_here(words: tuple[str, ...], environ: dict[str, str]) -> str:
    out = io.StringIO()
    error = io.StringIO()
    with (
        mock.patch.dict(os.environ, environ),
        redirect_stdout(out),
        redirect_stderr(error),
    ):
        code = application().run(ArgvInput(['dragonflyknot', *words]))
    if code:
        raise AssertionError(f'{words}: {code} {out.getvalue()} {error}')
    return out.getvalue()
