"""Select the host for the next attempt at a service.

The cost of a candidate is the expected duration of an attempt there: the
recent latency of the route, increased by the utilization of the slots, plus
a penalty for the network distance and a penalty for recent failures. The
cheapest of a few candidates is selected. If there are many, most of the few
are taken from the own data center, and another region is considered only
when all of the nearer ones are full.
"""

from collections.abc import Iterable
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import (
    MAX_BACKOFF_S,
    MAX_ROUTES,
    NEAREST_S,
    Candidate,
    Distance,
    HostQuery,
    Latency,
    Load,
    Place,
)
from dragonflyknot.decisions.randomness import Randomness

DRAINING_BACKOFF_S: Final = 1.0
INITIAL_LATENCY_S: Final = 0.1
COST_JITTER: Final = 0.1
CANDIDATE_SAMPLE_SIZE: Final = 6
NEAR_SAMPLE_SIZE: Final = 4
REGION_SAMPLE_SIZE: Final = 2
FAR_SAMPLE_SIZE: Final = 3
PROBES: Final = 2
UNHEALTHY_FAILURE_RATIO: Final = 0.3
LATE_AFTER_RATIO: Final = 3.0
MIN_LATE_AFTER_S: Final = 0.15


class Balancer:
    """Select hosts for the attempts of one daemon."""

    def __init__(self, host: str, data_center: str, region: str) -> None:
        """Start without hosts; the arguments locate this daemon."""
        self._host = host
        self._data_center = data_center
        self._region = region
        self._candidates_by_host: dict[str, Candidate] = {}
        self._hosts_by_service: dict[str, dict[str, Candidate]] = {}
        self._mean_by_service_route: dict[tuple[str, str], Latency] = {}

    def update(self, place: Place) -> None:
        """Add or update a host.

        A change of its place ends its backoff.
        """
        known = self._candidates_by_host.get(place.host)
        if known is not None and known.place.service != place.service:
            self.remove(place.host)
            known = None
        if known is None:
            known = Candidate(place, self._distance(place))
            self._candidates_by_host[place.host] = known
            hosts = self._hosts_by_service.setdefault(place.service, {})
            hosts[place.host] = known
        if known.place != place:
            known.backoff_until = 0
            known.place = place

    def remove(self, host: str) -> None:
        """Remove a host that left permanently."""
        known = self._candidates_by_host.pop(host, None)
        if known is not None:
            self._hosts_by_service[known.place.service].pop(host)

    def candidate(self, host: str) -> Candidate | None:
        """Return the candidate of a host, or None if it is unknown."""
        return self._candidates_by_host.get(host)

    def candidates(self) -> tuple[Candidate, ...]:
        """Return all candidates, for the state dump."""
        return tuple(self._candidates_by_host.values())

    def choose(
        self, query: HostQuery, now: float, rng: Randomness
    ) -> Candidate | None:
        """Return the host for the next attempt, or None if there is none.

        Hosts in backoff are used only if no other host is eligible.
        """
        hosts = self._hosts_by_service.get(query.service, {})
        ready = [
            candidate
            for host, candidate in hosts.items()
            if candidate.place.state is UpstreamState.READY
            and query.admits(host)
        ]
        available = [
            candidate for candidate in ready if candidate.backoff_until <= now
        ]
        eligible = available or ready
        if query.has_large_bodies:
            eligible = _nearest_with_room(eligible, now) or eligible
        service_mean_s = self._service_mean_s(query.service, query.route, now)
        return _pick_cheapest(eligible, query.route, service_mean_s, now, rng)

    def may_wait(self, service: str, sends: int) -> bool:
        """Tell whether an attempt may wait for a slot at its host.

        `sends` counts the attempts of the request, from 1. Of many hosts, one
        daemon hears of each only now and then, and its reports are old. Its
        first attempts ask for a free slot; the last ones wait for one.
        """
        hosts = self._hosts_by_service.get(service, {})
        return len(hosts) <= CANDIDATE_SAMPLE_SIZE or sends > PROBES

    def has_other(self, query: HostQuery) -> bool:
        """Tell whether an eligible host is ready."""
        hosts = self._hosts_by_service.get(query.service, {})
        return any(
            candidate.place.state is UpstreamState.READY
            for host, candidate in hosts.items()
            if query.admits(host)
        )

    def has_healthier(self, service: str, tried: set[str], now: float) -> bool:
        """Tell whether an untried host has a low failure ratio."""
        hosts = self._hosts_by_service.get(service, {})
        return any(
            candidate.place.state is UpstreamState.READY
            and candidate.failing.value(now) < UNHEALTHY_FAILURE_RATIO
            for host, candidate in hosts.items()
            if host not in tried
        )

    def is_leaf(self, service: str) -> bool:
        """Tell whether, by all load reports, a service makes no calls.

        Return False if no host of the service has reported yet.
        """
        hosts = self._hosts_by_service.get(service, {})
        loads = [
            candidate.load
            for candidate in hosts.values()
            if candidate.load is not None
        ]
        return bool(loads) and not any(load.makes_calls for load in loads)

    def has_room(self, service: str, tried: set[str], now: float) -> bool:
        """Tell whether an untried host is available and not congested."""
        hosts = self._hosts_by_service.get(service, {})
        return any(
            candidate.has_room(now)
            for host, candidate in hosts.items()
            if host not in tried
        )

    def late_after_s(
        self, candidate: Candidate, route: str, now: float
    ) -> float:
        """Return after how many seconds an attempt counts as late."""
        service_mean_s = self._service_mean_s(
            candidate.place.service, route, now
        )
        expected_s = max(
            service_mean_s, candidate.latency_s(route, service_mean_s, now)
        )
        return max(MIN_LATE_AFTER_S, LATE_AFTER_RATIO * expected_s)

    def record_load(self, candidate: Candidate, load: Load, now: float) -> None:
        """Record the load report that came with a response."""
        candidate.load = load
        candidate.load_reported_at = now
        candidate.in_flight_at_report = candidate.in_flight
        if load.state is UpstreamState.DRAINING:
            candidate.backoff_until = now + DRAINING_BACKOFF_S

    def record_stopping(self, host: str, now: float) -> None:
        """Record that a host says it refuses attempts until it is back."""
        candidate = self._candidates_by_host.get(host)
        if candidate is not None:
            candidate.backoff_until = now + DRAINING_BACKOFF_S

    def record_replaced(self, candidate: Candidate, now: float) -> None:
        """Record that another host answers at the address of a candidate."""
        candidate.load = None
        candidate.backoff_until = now + MAX_BACKOFF_S

    def _service_mean_s(self, service: str, route: str, now: float) -> float:
        """Return the mean latency of a route over the hosts of a service."""
        service_mean = self._mean_by_service_route.get((service, route))
        if service_mean is not None and service_mean.updated_at == now:
            # Host selection and the lateness timeout use the same value.
            return service_mean.mean_s
        hosts = self._hosts_by_service.get(service, {})
        service_mean = Latency(_mean_s(hosts.values(), route), now)
        if len(self._mean_by_service_route) >= MAX_ROUTES:
            self._mean_by_service_route.clear()
        self._mean_by_service_route[service, route] = service_mean
        return service_mean.mean_s

    def _distance(self, place: Place) -> Distance:
        if place.host == self._host:
            return Distance.SELF
        if place.data_center == self._data_center:
            return Distance.DATA_CENTER
        return Distance.REGION if place.region == self._region else Distance.FAR


def _nearest_with_room(
    candidates: list[Candidate], now: float
) -> list[Candidate]:
    """Return the candidates with room at the shortest distance."""
    roomy = [candidate for candidate in candidates if candidate.has_room(now)]
    nearest_s = min(
        (candidate.distance.value for candidate in roomy), default=0
    )
    return [
        candidate
        for candidate in roomy
        if candidate.distance.value <= max(nearest_s, NEAREST_S)
    ]


def _pick_cheapest(
    candidates: list[Candidate],
    route: str,
    service_mean_s: float,
    now: float,
    rng: Randomness,
) -> Candidate | None:
    if len(candidates) > CANDIDATE_SAMPLE_SIZE:
        candidates = _sample(candidates, now, rng)
    best: Candidate | None = None
    lowest_cost = float('inf')
    for candidate in candidates:
        cost = candidate.cost(route, service_mean_s, now) * (
            1 + COST_JITTER * rng.random()
        )
        if cost < lowest_cost:
            best = candidate
            lowest_cost = cost
    return best


def _sample(
    candidates: list[Candidate], now: float, rng: Randomness
) -> list[Candidate]:
    """Return a few random candidates, most of them from nearby."""
    near: list[Candidate] = []
    region: list[Candidate] = []
    far: list[Candidate] = []
    for candidate in candidates:
        match candidate.distance:
            case Distance.SELF | Distance.DATA_CENTER:
                near.append(candidate)
            case Distance.REGION:
                region.append(candidate)
            case Distance.FAR:
                far.append(candidate)
    sampled = _draw(near, NEAR_SAMPLE_SIZE, rng)
    missing = NEAR_SAMPLE_SIZE - len(sampled)
    sampled += _draw(region, REGION_SAMPLE_SIZE + missing, rng)
    if all(candidate.is_full(now) for candidate in sampled):
        sampled += _draw(far, FAR_SAMPLE_SIZE, rng)
    return sampled


def _draw(
    candidates: list[Candidate], count: int, rng: Randomness
) -> list[Candidate]:
    """Return so many random candidates, all if there are no more."""
    if len(candidates) <= count:
        return candidates
    size = len(candidates)
    return [candidates[int(rng.random() * size)] for _ in range(count)]


def _mean_s(candidates: Iterable[Candidate], route: str) -> float:
    known = [
        latency.mean_s
        for candidate in candidates
        if (latency := candidate.latency_by_route.get(route)) is not None
    ]
    return sum(known) / len(known) if known else INITIAL_LATENCY_S
