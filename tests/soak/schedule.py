"""Draw the faults of a soak from its seed."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

HOSTS = ('h0', 'h1', 'h2', 'h3')
SEGMENT_S = 6.0
CALM_S = 2.5
ROLL_GAP_S = 0.3
PLANNED_SHARE = 0.3
MOST_AT_ONCE = 4
MAX_LATE_S = 5.0


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a daemon; it starts again."""

    host: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Suspend a daemon for some seconds."""

    host: str
    for_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a daemon as planned; it starts again."""

    host: str


@dataclass(frozen=True, slots=True)
class StoreOut:
    """Let the store answer with a status, or nothing where that is 0."""

    status: int
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreLoses:
    """Lose the answers of the next writes, after they are done."""

    answers: int


@dataclass(frozen=True, slots=True)
class StoreForgets:
    """Drop the history of the store."""


@dataclass(frozen=True, slots=True)
class UpstreamSilent:
    """Let nothing that an upstream answers arrive."""

    host: str
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamResets:
    """Reset the connections to an upstream."""

    host: str


@dataclass(frozen=True, slots=True)
class UpstreamSlow:
    """Make an upstream slower."""

    host: str
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """Drain an upstream and replace it by a new instance."""

    host: str


@dataclass(frozen=True, slots=True)
class UpstreamDeregisters:
    """Let an upstream leave without a drain and start again.

    Its last heartbeat is late, which is the first one of its start unless
    `is_heard`. Its daemon may be killed as soon as it has acknowledged the
    leaving.
    """

    host: str
    is_heard: bool
    late_s: float
    keeps_id: bool
    kills_daemon: bool


@dataclass(frozen=True, slots=True)
class LinkHeld:
    """Hold what goes from other hosts to a host, or back, for a while."""

    host: str
    for_s: float
    is_inward: bool


@dataclass(frozen=True, slots=True)
class LinkSlow:
    """Delay what other hosts and a host send each other."""

    host: str
    for_s: float


@dataclass(frozen=True, slots=True)
class LinkResets:
    """Reset the connections of other hosts to a host."""

    host: str


@dataclass(frozen=True, slots=True)
class KeyWithdrawn:
    """Withdraw the older key of the workspace and add one."""


Fault = (
    Kill
    | Freeze
    | Stop
    | StoreOut
    | StoreLoses
    | StoreForgets
    | UpstreamSilent
    | UpstreamResets
    | UpstreamSlow
    | UpstreamLeaves
    | UpstreamDeregisters
    | LinkHeld
    | LinkSlow
    | LinkResets
    | KeyWithdrawn
)


@dataclass(frozen=True, slots=True)
class Timed:
    """Hold a fault and when it comes, in seconds from the start."""

    at_s: float
    fault: Fault


def schedule(seed: int, length_s: float) -> list[Timed]:
    """Return the faults of a soak, in order of time.

    Segments of overlapping faults alternate with planned stops of one host
    or of several in quick succession, with calm before them.
    """
    rng = random.Random(seed)
    timed: list[Timed] = []
    start_s = float(1)
    while start_s < length_s:
        if rng.random() < PLANNED_SHARE:
            start_s += CALM_S
            hosts = rng.sample(HOSTS, rng.randint(1, len(HOSTS)))
            timed.extend(
                Timed(start_s + number * ROLL_GAP_S, Stop(host))
                for number, host in enumerate(hosts)
            )
        else:
            for _ in range(rng.randint(1, MOST_AT_ONCE)):
                at_s = start_s + rng.random() * SEGMENT_S / 2
                timed.append(Timed(at_s, rng.choice(_DRAWS)(rng)))
        start_s += SEGMENT_S
    timed.extend(_deregistrations(seed, length_s))
    return sorted(timed, key=lambda one: one.at_s)


def _deregistrations(seed: int, length_s: float) -> Iterator[Timed]:
    """Yield leavings without a drain, beside the faults of all segments."""
    rng = random.Random(f'deregistrations of {seed}')
    at_s = rng.random() * SEGMENT_S
    while at_s < length_s:
        yield Timed(
            at_s,
            UpstreamDeregisters(
                rng.choice(HOSTS),
                is_heard=rng.random() < 0.5,
                late_s=rng.random() * MAX_LATE_S,
                keeps_id=rng.random() < 0.5,
                kills_daemon=rng.random() < 0.5,
            ),
        )
        at_s += rng.random() * 2 * SEGMENT_S


def _span_s(rng: random.Random) -> float:
    return 0.3 + rng.random() * 2


_DRAWS: tuple[Callable[[random.Random], Fault], ...] = (
    lambda rng: Kill(rng.choice(HOSTS)),
    lambda rng: Freeze(rng.choice(HOSTS), _span_s(rng)),
    lambda rng: StoreOut(rng.choice((0, 429, 503)), _span_s(rng)),
    lambda rng: StoreLoses(rng.randint(1, 4)),
    lambda _rng: StoreForgets(),
    lambda rng: UpstreamSilent(rng.choice(HOSTS), _span_s(rng)),
    lambda rng: UpstreamResets(rng.choice(HOSTS)),
    lambda rng: UpstreamSlow(rng.choice(HOSTS), _span_s(rng)),
    lambda rng: UpstreamLeaves(rng.choice(HOSTS)),
    lambda _rng: KeyWithdrawn(),
    lambda rng: LinkHeld(rng.choice(HOSTS), _span_s(rng), rng.random() < 0.5),
    lambda rng: LinkSlow(rng.choice(HOSTS), _span_s(rng)),
    lambda rng: LinkResets(rng.choice(HOSTS)),
)
