"""The scenarios of the flow experiments: who asks, and what goes wrong.

Loads are given in shares of the capacity of the four targets together.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from types import MappingProxyType

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Service
from experiments.fleet import Fleet, Place
from experiments.gatehost import GateHost
from experiments.load import Stream
from experiments.ratios import Window

PLACES = (
    Place('host-1', 'north-1', 'north'),
    Place('host-2', 'north-2', 'north'),
    Place('host-3', 'south-1', 'south'),
    Place('host-4', 'south-2', 'south'),
)
SHARES_BY_HOST = MappingProxyType(
    {'host-1': 0.35, 'host-2': 0.25, 'host-3': 0.2, 'host-4': 0.2}
)
FRONT = Service('front')
DEEP = Service('deep')
SLOTS = 90
LYING_SLOTS = 30
CAPACITY_SLOTS = len(PLACES) * SLOTS
MEAN_S = 0.2
WORKSPACES = 8
STEADY_LOAD = 0.7
IMPORTANT_LOAD = 0.25
LYING_LOAD = 0.3
WINDOW = Window(1, 4)
QUICK_WINDOW = Window(1, 2)
QUICK_NAMES = frozenset(
    ('surge-10x', 'flood', 'deep-slow', 'lying-slots', 'chain-22')
)
LONG_WINDOW = Window(1, 11)
QUICK_LONG_WINDOW = Window(1, 4)
SLOWNESS = 10
CHAIN_SLOTS = 8

Profile = Callable[[float], float]
Setup = Callable[[Fleet], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one experiment.

    `capacity_slots` is what the upstreams can truly do in the window.
    """

    name: str
    window: Window
    streams: tuple[Stream, ...]
    setup: Setup
    capacity_slots: float = CAPACITY_SLOTS
    tail_s: float = 2


def scenarios(quick: bool) -> Iterator[Scenario]:
    """Return every scenario, or a few with shorter windows."""
    every = _scenarios(quick)
    return (one for one in every if not quick or one.name in QUICK_NAMES)


def _scenarios(quick: bool) -> Iterator[Scenario]:
    window = QUICK_WINDOW if quick else WINDOW
    long = QUICK_LONG_WINDOW if quick else LONG_WINDOW
    yield Scenario('steady', window, _mixed(_flat), _front)
    yield Scenario('surge-2x', window, _mixed(Surge(2, window)), _front)
    yield Scenario('surge-10x', window, _mixed(Surge(10, window)), _front)
    yield Scenario(
        'surge-2x-hard-retries',
        window,
        _mixed(Surge(2, window), sends=6),
        _front,
    )
    yield Scenario('flood', window, _flood(window), _front)
    yield Scenario('deep-slow', long, _two_routes(), _slow_deep(long))
    yield Scenario('cold-start', window, _mixed(_flat), _cold_start(window))
    yield Scenario(
        'lying-slots',
        window,
        _mixed(_flat),
        _lying_slots,
        CAPACITY_SLOTS - SLOTS + LYING_SLOTS,
    )
    yield Scenario(
        'lying-slots-overload',
        long,
        _mixed(Surge(STEADY_LOAD, long, LYING_LOAD)),
        _lying_everywhere,
        len(PLACES) * LYING_SLOTS,
    )
    yield Scenario('failing-fast', window, _mixed(_flat), _failing_fast(window))
    for hops in (5, 22):
        yield Scenario(f'chain-{hops}', window, _chain_load(hops), _chain(hops))


@dataclass(frozen=True, slots=True)
class Surge:
    """Raise the load for the time of a window."""

    peak: float
    window: Window
    base: float = STEADY_LOAD

    def __call__(self, moment: float) -> float:
        """Return the load at a moment."""
        return self.peak if self.window.has(moment) else self.base


def _flat(moment: float) -> float:
    return STEADY_LOAD


def _mixed(load: Profile, sends: int = 1) -> tuple[Stream, ...]:
    """Return important requests at a steady rate and two lesser kinds."""

    important = partial(_constant, IMPORTANT_LOAD)

    def lesser(moment: float) -> float:
        return (load(moment) - IMPORTANT_LOAD) / 2

    return tuple(
        stream
        for number in range(WORKSPACES)
        for stream in (
            _stream(number, 9, important, sends, 2),
            _stream(number, 5, lesser, sends),
            _stream(number, 1, lesser, sends),
        )
    )


def _constant(load: float, moment: float) -> float:
    return load


def _flood(window: Window) -> tuple[Stream, ...]:
    """Return workspaces within their share, and one at ten times of it."""
    share = 0.95

    def tenfold(moment: float) -> float:
        return 10 * share if window.has(moment) else STEADY_LOAD

    flooding = _stream(0, 5, tenfold)
    others = [
        _stream(number, 5, partial(_constant, share))
        for number in range(1, WORKSPACES)
    ]
    return (flooding, *others)


def _two_routes() -> tuple[Stream, ...]:
    """Return requests that stay at the front and some that go deeper."""
    streams: list[Stream] = []
    for number in range(WORKSPACES):
        shallow = _stream(number, 5, partial(_constant, 0.3))
        deeper = _stream(number, 5, partial(_constant, 0.15), timeout_s=4)
        important = _stream(number, 9, partial(_constant, 0.05), timeout_s=4)
        streams.extend(
            (
                shallow,
                replace(deeper, plan=('front', 'deep')),
                replace(important, plan=('front', 'deep')),
            )
        )
    return tuple(streams)


def _chain_load(hops: int) -> tuple[Stream, ...]:
    plan = tuple(f'hop-{number}' for number in range(hops))
    stream = Stream(
        'workspace-0', 5, lambda moment: 40, plan, 0.01, timeout_s=2.0
    )
    return (stream,)


def _stream(
    number: int,
    priority: int,
    load: Profile,
    sends: int = 1,
    timeout_s: float = 1,
) -> Stream:
    """Return a workspace's even part of a load."""
    full_rate = CAPACITY_SLOTS / MEAN_S / WORKSPACES

    def rate(moment: float) -> float:
        return load(moment) * full_rate

    return Stream(
        workspace=f'workspace-{number}',
        priority=priority,
        rate=rate,
        plan=('front',),
        mean_s=MEAN_S,
        timeout_s=timeout_s,
        sends=sends,
    )


def _front(fleet: Fleet) -> None:
    for place in PLACES:
        fleet.add_node(place)
        fleet.add_gate(place.host, FRONT, SLOTS, SLOTS)


def _beside(
    fleet: Fleet, place: Place, service: Service, slots: int
) -> GateHost:
    """Put a service on a host of its own in a place's data centre."""
    host = f'{service.name}-{place.host}'
    fleet.add_node(replace(place, host=host))
    return fleet.add_gate(host, service, slots, slots)


def _slow_deep(window: Window) -> Setup:
    def setup(fleet: Fleet) -> None:
        _front(fleet)
        deep = [_beside(fleet, place, DEEP, SLOTS) for place in PLACES]

        def slow(factor: float) -> None:
            for gate in deep:
                gate.upstream.slow(factor)

        fleet.loop.after(window.start, lambda: slow(SLOWNESS))
        fleet.loop.after(window.end, lambda: slow(1))

    return setup


def _cold_start(window: Window) -> Setup:
    def setup(fleet: Fleet) -> None:
        _front(fleet)
        gate = fleet.nodes_by_host['host-1'].gates_by_service['front']

        def restart() -> None:
            gate.upstream.served = 0
            gate.announce(SLOTS, UpstreamState.STARTING)
            gate.announce(SLOTS, UpstreamState.READY)

        fleet.loop.after(window.start, restart)

    return setup


def _lying_slots(fleet: Fleet) -> None:
    _front(fleet)
    gate = fleet.nodes_by_host['host-1'].gates_by_service['front']
    gate.upstream.slots = LYING_SLOTS


def _lying_everywhere(fleet: Fleet) -> None:
    _front(fleet)
    for node in fleet.nodes_by_host.values():
        node.gates_by_service['front'].upstream.slots = LYING_SLOTS


def _failing_fast(window: Window) -> Setup:
    def setup(fleet: Fleet) -> None:
        _front(fleet)
        gate = fleet.nodes_by_host['host-1'].gates_by_service['front']

        def fail(fails: bool) -> None:
            gate.upstream.fails = fails

        fleet.loop.after(window.start, lambda: fail(True))
        fleet.loop.after(window.end, lambda: fail(False))

    return setup


def _chain(hops: int) -> Setup:
    """Return a chain whose last service fails every request."""

    def setup(fleet: Fleet) -> None:
        for place in PLACES[:2]:
            fleet.add_node(place)
            for number in range(hops - 1):
                service = Service(f'hop-{number}', queue_limit=2)
                _beside(fleet, place, service, CHAIN_SLOTS * hops)
            last = Service(f'hop-{hops - 1}')
            gate = _beside(fleet, place, last, SLOTS)
            gate.upstream.fails = True

    return setup
