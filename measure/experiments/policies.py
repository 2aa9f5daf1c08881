"""The policies of an experiment and the baseline without them.

The baseline has the same interfaces: round robin over the targets, a queue
in order of arrival without bound or deadline, and retries at each hop.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from dragonflyknot.decisions import admission, routing
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.retry import (
    Failure,
    RetryBudget,
    RetryPool,
    is_retryable,
)

RETRIES_PER_HOP = 2


class GatePolicy(Protocol):
    """Admit attempts to one upstream."""

    def handle(
        self, event: admission.Event, now: float
    ) -> tuple[admission.Command, ...]:
        """Take an event; return commands."""

    def report(self) -> LoadReport:
        """Return the load."""

    def next_deadline(self) -> float | None:
        """Return when a tick is due."""


class RouterPolicy(Protocol):
    """Choose targets."""

    @property
    def link_bytes(self) -> int:
        """Return the body bytes exchanged with other regions."""

    def handle(self, event: routing.Event, now: float) -> None:
        """Take an event."""

    def choose(
        self,
        service: str,
        priority: int,
        excluded: frozenset[str],
        large: bool,
        now: float,
        rng: Randomness,
        workspace: str = '',
    ) -> routing.Target | routing.NoTarget:
        """Return a target."""


class FifoGate:
    """Run attempts in the order of arrival, up to the announced slots."""

    def __init__(self, service: Service) -> None:
        """Start without slots."""
        self._slots = 0
        self._tick_at: float | None = None
        self._waiting: deque[str] = deque()
        self._running: set[str] = set()

    def handle(
        self, event: admission.Event, now: float
    ) -> tuple[admission.Command, ...]:
        """Take an event; return what may start."""
        match event:
            case admission.Announced(slots, _):
                self._slots = slots
            case admission.Arrived(attempt_id):
                self._waiting.append(attempt_id)
            case admission.Finished(attempt_id):
                self._running.discard(attempt_id)
        return self._fill()

    def report(self) -> LoadReport:
        """Return a report that admits everything."""
        return LoadReport(
            state=UpstreamState.READY,
            limit=self._slots,
            running=len(self._running),
            queued=len(self._waiting),
            threshold=0,
        )

    def next_deadline(self) -> float | None:
        """Return nothing: the queue has no deadlines."""
        return self._tick_at

    def _fill(self) -> tuple[admission.Command, ...]:
        commands: list[admission.Command] = []
        while self._waiting and len(self._running) < self._slots:
            attempt_id = self._waiting.popleft()
            self._running.add(attempt_id)
            commands.append(admission.Start(attempt_id))
        return tuple(commands)


class RoundRobinRouter:
    """Take the targets of a service in turn."""

    def __init__(self, host: str, data_center: str, region: str) -> None:
        """Start without targets."""
        self.link_bytes = 0
        self._region = region
        self._turn = 0
        self._regions_by_host: dict[str, str] = {}
        self._hosts_by_service: dict[str, list[str]] = {}

    def handle(self, event: routing.Event, now: float) -> None:
        """Take an event."""
        match event:
            case routing.TargetSeen(host, _, service, _, region):
                self._regions_by_host[host] = region
                hosts = self._hosts_by_service.setdefault(service, [])
                if host not in hosts:
                    hosts.append(host)
            case routing.AttemptSent(host, _, body_bytes):
                if self._regions_by_host[host] != self._region:
                    self.link_bytes += body_bytes

    def choose(
        self,
        service: str,
        priority: int,
        excluded: frozenset[str],
        large: bool,
        now: float,
        rng: Randomness,
        workspace: str = '',
    ) -> routing.Target:
        """Return the next target."""
        hosts = self._hosts_by_service[service]
        self._turn += 1
        return routing.Target(hosts[self._turn % len(hosts)], 1)


class PoolPolicy(Protocol):
    """Count the retries that a hop holds."""

    @property
    def left(self) -> int:
        """Return the retries at hand."""

    def spend(self) -> bool:
        """Take one."""

    def hand_over(self, wanted: int) -> int:
        """Move some to the next hop."""

    def take_back(self, handed: int, unused: int) -> None:
        """Take back what is unused."""

    def seal(self) -> int:
        """Return the unused rest."""


class PerHopPool:
    """Give each hop the same number of retries, whatever went before."""

    def __init__(self, size: int) -> None:
        """Start with a number of retries for this hop alone."""
        self.left = size

    def spend(self) -> bool:
        """Take one of this hop's retries."""
        self.left -= 1
        return self.left >= 0

    def hand_over(self, wanted: int) -> int:
        """Give the next hop retries of its own."""
        return RETRIES_PER_HOP

    def take_back(self, handed: int, unused: int) -> None:
        """Ignore what the next hop did not use."""

    def seal(self) -> int:
        """Return nothing."""
        return 0


class NoBudget:
    """Allow every retry."""

    def record_success(self, now: float, workspace: str = '') -> None:
        """Ignore a success."""

    def may_retry(self, now: float, workspace: str = '') -> bool:
        """Allow it."""
        return True

    def record_retry(self, now: float, workspace: str = '') -> None:
        """Ignore a retry."""


@dataclass(frozen=True, slots=True)
class Policies:
    """Bundle what a fleet is made of."""

    gate: Callable[[Service], GatePolicy]
    router: Callable[[str, str, str], RouterPolicy]
    pool: Callable[[int], PoolPolicy]
    budget: Callable[[], RetryBudget | NoBudget]
    may_repeat: Callable[[Failure], bool]
    cancels: bool


POLICIES_ON = Policies(
    admission.Gate, routing.Router, RetryPool, RetryBudget, is_retryable, True
)
POLICIES_OFF = Policies(
    FifoGate,
    RoundRobinRouter,
    PerHopPool,
    NoBudget,
    lambda failure: True,
    False,
)


def seeded(seed: int, name: str) -> random.Random:
    """Return the randomness of one part of an experiment."""
    return random.Random(f'{seed}-{name}')
