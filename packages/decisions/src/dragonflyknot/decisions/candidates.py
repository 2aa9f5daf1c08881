"""Candidate hosts for attempts: where they are, and how attempts fare there.

The weight of a load report decays with its age, while attempts of this daemon
count immediately. A host that cannot be reached is backed off exponentially.
Late attempts add a penalty before they have ended, but only above the small
ratio of late attempts that any host has.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from math import exp
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState

# Names in *_DECAY_S are time constants of exponential decay.
REPORT_DECAY_S: Final = 0.5
CONGESTED_UTILIZATION: Final = 0.6
INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 4.0
REFUSED_BACKOFF_S: Final = 0.15
FAILURE_EWMA_WEIGHT: Final = 0.1
FAILURE_PENALTY_S: Final = 1.0
LATENCY_EWMA_WEIGHT: Final = 0.15
LATENCY_DECAY_S: Final = 4.0
CONGESTION_SLOWDOWN: Final = 3.0
RATIO_DECAY_S: Final = 3.0
NEGLIGIBLE_RATIO: Final = 0.0001
MAX_ROUTES: Final = 256
LATE_EWMA_WEIGHT: Final = 0.05
TOLERATED_LATE_RATIO: Final = 0.08
LATE_PENALTY_S: Final = 1.0
MAX_SLOTS: Final = 100_000


@unique
class Distance(Enum):
    """Classify hosts by network distance; the value is a cost in seconds.

    The cost covers the network latency and the price of traffic between data
    centers, which is higher between regions.
    """

    SELF = 0
    DATA_CENTER = 0.001
    REGION = 0.03
    FAR = 0.08


NEAREST_S: Final[float] = Distance.DATA_CENTER.value


@unique
class Ending(Enum):
    """Classify how an attempt ended, as seen by the sender."""

    DONE = 'done'
    FAILED = 'failed'
    REFUSED = 'refused'
    GONE = 'gone'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    LATE = 'late'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Place:
    """Describe the location of a host and the state of its upstream."""

    host: str
    address: str
    data_center: str
    region: str
    service: str
    state: UpstreamState
    slots: int


@dataclass(frozen=True, slots=True)
class Load:
    """Hold the load that a gate reported with a response.

    `makes_calls` tells whether requests running there make downstream calls.
    """

    state: UpstreamState
    slots: int
    running: int
    waiting: int
    makes_calls: bool = True


@dataclass(slots=True)
class HostQuery:
    """Describe which hosts are eligible for an attempt.

    Hosts in `tried` are excluded. If `within` is not empty, only its hosts
    are eligible. `has_large_bodies` keeps an attempt at the nearest hosts
    that have room.
    """

    service: str
    route: str
    tried: set[str]
    within: frozenset[str] = frozenset()
    has_large_bodies: bool = False

    def admits(self, host: str) -> bool:
        """Tell whether a host is eligible."""
        if host in self.tried:
            return False
        return not self.within or host in self.within


@dataclass(slots=True)
class Latency:
    """Hold a mean latency in seconds and the time of its last update."""

    mean_s: float
    updated_at: float


@dataclass(slots=True)
class DecayingRatio:
    """Track the ratio of bad events; it decays exponentially with time."""

    ratio: float = 0
    updated_at: float = 0

    def add(self, observed: float, weight: float, now: float) -> None:
        """Record one event: 1 if it was bad, 0 otherwise."""
        if not observed and self.ratio < NEGLIGIBLE_RATIO:
            return
        decayed = self.value(now)
        self.ratio = decayed + weight * (observed - decayed)
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the ratio, decayed to the given time."""
        if self.ratio < NEGLIGIBLE_RATIO:
            return 0
        return self.ratio * exp((self.updated_at - now) / RATIO_DECAY_S)


@dataclass(slots=True)
class Candidate:
    """Hold the routing state of one host; times are in monotonic seconds.

    `in_flight` counts the unfinished attempts of this daemon there.
    """

    place: Place
    distance: Distance
    load: Load | None = None
    load_reported_at: float = 0
    in_flight: int = 0
    in_flight_at_report: int = 0
    failing: DecayingRatio = field(default_factory=DecayingRatio)
    lateness: DecayingRatio = field(default_factory=DecayingRatio)
    backoff_until: float = 0
    backoffs: int = 0
    latency_by_route: dict[str, Latency] = field(default_factory=dict)

    def cost(self, route: str, service_mean_s: float, now: float) -> float:
        """Return the expected cost of another attempt, in seconds."""
        congestion = (
            max(0, self._utilization(now) - CONGESTED_UTILIZATION)
            * CONGESTION_SLOWDOWN
        )
        lateness = max(0, self.lateness.value(now) - TOLERATED_LATE_RATIO)
        penalty_s = self.failing.value(now) * FAILURE_PENALTY_S
        penalty_s += lateness * LATE_PENALTY_S
        distance_s: float = self.distance.value
        expected_s = self.latency_s(route, service_mean_s, now) * (
            1 + congestion
        )
        return expected_s + distance_s + penalty_s

    def has_room(self, now: float) -> bool:
        """Tell whether the host is ready, not backed off and not congested."""
        if self.place.state is not UpstreamState.READY:
            return False
        return (
            self.backoff_until <= now
            and self._utilization(now) < CONGESTED_UTILIZATION
        )

    def is_full(self, now: float) -> bool:
        """Tell whether all slots are in use as far as is known."""
        return self._utilization(now) > 1

    def latency_s(self, route: str, service_mean_s: float, now: float) -> float:
        """Return the latency of a route here, in seconds.

        As the last measurement ages, the result approaches the mean of the
        service.
        """
        latency = self.latency_by_route.get(route)
        if latency is None:
            return service_mean_s
        weight_left = exp((latency.updated_at - now) / LATENCY_DECAY_S)
        return service_mean_s + (latency.mean_s - service_mean_s) * weight_left

    def record_end(
        self, ending: Ending, route: str, started_at: float, now: float
    ) -> None:
        """Record the end of an attempt."""
        match ending:
            case Ending.DONE:
                self.backoffs = 0
                self.failing.add(0, FAILURE_EWMA_WEIGHT, now)
                self.lateness.add(0, LATE_EWMA_WEIGHT, now)
                self._record_latency(route, now - started_at, now)
            case Ending.FAILED:
                self.failing.add(1, FAILURE_EWMA_WEIGHT, now)
            case Ending.REFUSED:
                self.backoff_until = now + REFUSED_BACKOFF_S
            case Ending.GONE | Ending.UNREACHABLE | Ending.SILENT:
                self._back_off(now)
            case Ending.LATE:
                self.record_late(now)
            case Ending.CANCELLED:
                return

    def record_late(self, now: float) -> None:
        """Record that an attempt has waited too long for its response."""
        self.lateness.add(1, LATE_EWMA_WEIGHT, now)

    def _utilization(self, now: float) -> float:
        """Return the slot utilization with one more attempt."""
        others_in_use = float(0)
        if self.load is not None:
            busy = (
                self.load.running + self.load.waiting - self.in_flight_at_report
            )
            report_weight = exp((self.load_reported_at - now) / REPORT_DECAY_S)
            others_in_use = max(0, busy) * report_weight
        return (self.in_flight + others_in_use + 1) / max(1, self.place.slots)

    def _record_latency(self, route: str, took_s: float, now: float) -> None:
        latency = self.latency_by_route.get(route)
        if latency is None:
            if len(self.latency_by_route) >= MAX_ROUTES:
                self.latency_by_route.clear()
            self.latency_by_route[route] = Latency(took_s, now)
            return
        latency.mean_s += LATENCY_EWMA_WEIGHT * (took_s - latency.mean_s)
        latency.updated_at = now

    def _back_off(self, now: float) -> None:
        if now < self.backoff_until:
            return
        self.backoff_until = now + min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.backoffs
        )
        self.backoffs = min(self.backoffs + 1, 8)
