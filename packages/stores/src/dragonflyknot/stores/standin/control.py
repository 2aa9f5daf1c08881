"""The control endpoint that turns the stand-in's faults on and off.

`PUT /.standin/switches` takes a JSON object with a member for each service,
for example `{"table": {"down": true, "delay_ms": 0, "lost_answers": 0}}`;
members left out stay as they are. `GET` returns switches and usage.
"""

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Final

from aiohttp import web

from dragonflyknot.stores.interfaces import Usage
from dragonflyknot.stores.switches import Switches

CONTROL_PATH: Final = '/.standin/switches'
MS_PER_S: Final = 1000


class Control:
    """Answer calls of the control endpoint."""

    def __init__(
        self,
        switches_by_service: Mapping[str, Switches],
        usage_by_service: Mapping[str, Usage],
    ) -> None:
        """Control the switches of the named services."""
        self._switches_by_service = switches_by_service
        self._usage_by_service = usage_by_service

    async def read(self, request: web.Request) -> web.Response:
        """Return the switches and the usage of each service."""
        return web.json_response(
            {
                service: asdict(switches)
                | asdict(self._usage_by_service[service])
                for service, switches in self._switches_by_service.items()
            }
        )

    async def change(self, request: web.Request) -> web.Response:
        """Set the switches that the body names."""
        try:
            self._set_all(json.loads(await request.read()))
        except (LookupError, TypeError, ValueError) as error:
            return web.json_response({'error': repr(error)}, status=400)
        return await self.read(request)

    def _set_all(self, body: object) -> None:
        for service, members in _object(body).items():
            _set(self._switches_by_service[service], members)


def _object(found: object) -> Mapping[str, object]:
    if isinstance(found, dict):
        return found
    raise TypeError('a JSON object is needed')


def _set(switches: Switches, members: object) -> None:
    for name, setting in _object(members).items():
        match name, setting:
            case 'down', bool():
                switches.down = setting
            case 'delay_ms', int() | float():
                switches.delay_s = setting / MS_PER_S
            case 'lost_answers', int():
                switches.lost_answers = setting
            case _:
                raise ValueError(f'{name} with {setting!r} is not a switch')
