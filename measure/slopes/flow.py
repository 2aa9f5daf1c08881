"""Slopes of admission, routing and retries: microseconds an event.

State machines alone, from one seed; `python -m slopes.main --only flow` prints
them.
"""

import random
import time
from collections.abc import Callable, Iterator
from functools import partial

from dragonflyknot.decisions import admission, routing
from dragonflyknot.decisions.admission import Verdict
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.retry import RetryBudget, RetryPool
from slopes.slope import Slope

SEED = 1
SLOTS = 90
WORKSPACES = 8
EVENTS = 20_000
REPEATS = 3
FAR_DEADLINE_S = 1000.0
TARGET_COUNTS = (4, 1000)
NOBODY: frozenset[str] = frozenset()
MICROSECONDS = 1_000_000


def measure(large: bool) -> Iterator[Slope]:
    """Yield every slope of the request path's decisions."""
    yield _slope('gate: arrive, report and finish', _admit)
    yield _slope('gate: arrive at a full queue and shed', _shed)
    for count in TARGET_COUNTS:
        name = f'router: choose, send and end, {count} targets'
        yield _slope(name, partial(_route, count))
    yield _slope('retries: pool and budget of one request', _retry)


def _slope(name: str, run: Callable[[], None]) -> Slope:
    """Return the least time of some repeats, an event."""
    seconds = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        run()
        seconds.append(time.perf_counter() - began)
    return Slope(name, 'us', min(seconds) / EVENTS * MICROSECONDS)


def _gate(slots: int) -> admission.Gate:
    gate = admission.Gate(Service('s'))
    for state in (UpstreamState.DRAINING, UpstreamState.READY):
        gate.handle(admission.Announced(slots, state), 0)
    return gate


def _admit() -> None:
    gate = _gate(SLOTS)
    for number in range(EVENTS):
        now = number / EVENTS
        name = f'{number}'
        gate.handle(_arrival(number), now)
        gate.next_deadline()
        gate.report()
        done = admission.Finished(name, 0.01, Verdict.SUCCEEDED)
        gate.handle(done, now)


def _shed() -> None:
    gate = _gate(1)
    for number in range(EVENTS):
        gate.handle(_arrival(number), 0)
        gate.next_deadline()
        gate.report()


def _arrival(number: int) -> admission.Arrived:
    return admission.Arrived(
        f'{number}',
        f'workspace-{number % WORKSPACES}',
        number * 7 % 10,
        0,
        FAR_DEADLINE_S,
    )


def _route(count: int) -> None:
    router = routing.Router('me', 'dc-0', 'north')
    for number in range(count):
        router.handle(_target(number), 0)
    rng = random.Random(SEED)
    report = LoadReport(UpstreamState.READY, SLOTS, 40, 0, 0)
    for number in range(EVENTS):
        now = number / EVENTS
        choice = router.choose('s', 5, NOBODY, False, now, rng, 'w')
        if isinstance(choice, routing.Target):
            host = choice.host
            sent = routing.AttemptSent(host, f'{number}', 100, 'w', 5)
            router.handle(sent, now)
            ended = routing.AttemptEnded(
                host, f'{number}', routing.Ending.DONE, report
            )
            router.handle(ended, now)


def _target(number: int) -> routing.TargetSeen:
    return routing.TargetSeen(
        f'host-{number}',
        1,
        's',
        f'dc-{number % 4}',
        'north' if number % 4 < 2 else 'south',
        UpstreamState.READY,
    )


def _retry() -> None:
    budget = RetryBudget()
    for number in range(EVENTS):
        now = number / EVENTS
        pool = RetryPool(2)
        pool.take_back(pool.hand_over(2), 2)
        budget.may_retry(now, 'w')
        budget.record_success(now, 'w')
        pool.seal()
