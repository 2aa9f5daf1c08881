"""Check what one part of a document says about another.

The checks read the raw table, so that they report their faults also when
single fields are refused.
"""

from collections.abc import Iterator, Mapping

from dragonflyknot.operators.explain import shown
from dragonflyknot.operators.faults import Fault

RESERVED_PREFIX = '/.dragonflyknot'

_Table = Mapping[str, object]


def reference_faults(raw: _Table) -> Iterator[Fault]:
    """Yield the faults between routes, services and the open rate."""
    routes = _routes(raw)
    if 'routes' in raw and not raw['routes']:
        yield Fault('routes', 'there are none', 'Add at least one route')
    yield from _unknown_services(routes, _table(raw.get('services')))
    yield from _doubled_routes(routes)
    for place, route in routes.items():
        yield from _policy_faults(place, route)
    yield from _open_faults(routes, _table(raw.get('open')))


def _routes(raw: _Table) -> dict[str, _Table]:
    listed = raw.get('routes')
    if not isinstance(listed, list):
        return {}
    return {
        f'routes.{index}': _table(route) for index, route in enumerate(listed)
    }


def _table(found: object) -> _Table:
    return found if isinstance(found, dict) else {}


def _unknown_services(
    routes_by_place: Mapping[str, _Table], services: _Table
) -> Iterator[Fault]:
    for place, route in routes_by_place.items():
        service = route.get('service')
        if isinstance(service, str) and service not in services:
            yield Fault(
                f'{place}.service',
                f'{shown(service)} is not a service of this document',
                'Add a table [services.NAME] or name one that is there',
            )


def _doubled_routes(routes_by_place: Mapping[str, _Table]) -> Iterator[Fault]:
    place_by_match: dict[tuple[str, str], str] = {}
    for place, route in routes_by_place.items():
        method = str(route.get('method'))
        prefix = str(route.get('prefix'))
        first = place_by_match.setdefault((method, prefix), place)
        if first != place and 'prefix' in route:
            yield Fault(
                f'{place}.prefix',
                f'method and prefix are those of {first}',
                'Remove one of the two routes',
            )


def _policy_faults(place: str, route: _Table) -> Iterator[Fault]:
    if route.get('once') is True and route.get('idempotent') is True:
        yield Fault(
            f'{place}.once',
            'a route is not both once and idempotent',
            'Keep the one that holds for the requests',
        )
    if str(route.get('prefix')).startswith(RESERVED_PREFIX):
        yield Fault(
            f'{place}.prefix',
            f'paths under {RESERVED_PREFIX} belong to the system',
            'Choose another prefix',
        )


def _open_faults(
    routes_by_place: Mapping[str, _Table], limits: _Table
) -> Iterator[Fault]:
    is_open = any(
        route.get('open') is True for route in routes_by_place.values()
    )
    for name in ('rate', 'burst'):
        if is_open and limits.get(name, 0) == 0:
            yield Fault(
                f'open.{name}',
                'open routes have nothing to run on',
                f'Set {name} in [open] to 1 or more',
            )
