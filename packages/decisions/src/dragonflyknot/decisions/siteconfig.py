"""The configuration of a whole site, as kept by the platform.

Routes are matched by host and by the longest prefix of the path. A route may
split its requests among several services by weight. A greater priority is
more important, as in all other modules.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

HIGHEST_CALLER_PRIORITY: Final = 8
LOWEST_CALL_PRIORITY: Final = HIGHEST_CALLER_PRIORITY + 1
"""Calls precede requests of callers, as their chain has already cost work."""

HIGHEST_CALL_PRIORITY: Final = LOWEST_CALL_PRIORITY + HIGHEST_CALLER_PRIORITY


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service of a route and the weight of its share of requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class SiteRoute:
    """Describe the requests under one path prefix of a host.

    `timeout_s` is the maximum time to the final response for a caller,
    `target_latency_s` the latency within which a response is worth most.
    `max_attempts` is the maximum number of upstreams that one request may run
    on. `has_large_bodies` tells that requests or responses are large.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    parts: tuple[WeightedService, ...]
    max_attempts: int = 1
    open: bool = False
    has_large_bodies: bool = False


@dataclass(frozen=True, slots=True)
class SiteWorkspace:
    """Describe a workspace: rate in requests/s and burst in requests.

    A rate of 0 means no limit. A `priority` overrides that of the route.
    """

    name: str
    rate: float = 0
    burst: float = 0
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class SiteService:
    """Describe the upstreams of a service."""

    name: str
    health_path: str = '/'


@dataclass(frozen=True, slots=True)
class SiteLimits:
    """Limit the request heads and idle connections of callers.

    `head_s` bounds the time to receive a head, `idle_s` the time that a
    connection may be idle.
    """

    head_bytes: int = 16384
    head_s: float = 5.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class UnknownWord:
    """Name a field of the configuration and a value unknown to this release."""

    field: str
    word: str


@dataclass(frozen=True, slots=True)
class SiteConfiguration:
    """Hold one version of the configuration of a site.

    `unknown_words` are values that this release does not know; what they
    belong to is treated with the most care.
    """

    version: int
    routes: tuple[SiteRoute, ...] = ()
    services_by_name: Mapping[str, SiteService] = field(default_factory=dict)
    workspaces_by_name: Mapping[str, SiteWorkspace] = field(
        default_factory=dict
    )
    workspace_by_key: Mapping[str, str] = field(default_factory=dict)
    limits: SiteLimits = SiteLimits()
    unknown_words: tuple[UnknownWord, ...] = ()

    @property
    def needs_keys(self) -> bool:
        """Tell whether callers have to send an API key."""
        return bool(self.workspaces_by_name)


class SiteRoutes:
    """Find the route of a request."""

    def __init__(self, configuration: SiteConfiguration) -> None:
        """Index the routes by host and prefix."""
        self._by_prefix_by_host: dict[str, dict[str, SiteRoute]] = {}
        for route in configuration.routes:
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host: str, path: str) -> SiteRoute | None:
        """Return the route with the longest matching prefix, or None."""
        by_prefix = self._by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


class Splitter:
    """Distribute the requests of a route by smooth weighted round robin.

    With every request each service gains its weight in credits, and the
    selected one pays the total weight, so that the shares hold over short
    spans too.
    """

    def __init__(self) -> None:
        """Start without credits."""
        self._credits_by_route: dict[str, list[float]] = {}

    def choose(self, route: SiteRoute) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credits_by_part = self._credits_by_route.get(route.name)
        if credits_by_part is None or len(credits_by_part) != len(parts):
            credits_by_part = [float(0) for _ in parts]
            self._credits_by_route[route.name] = credits_by_part
        total_weight = float(0)
        for index, part in enumerate(parts):
            credits_by_part[index] += part.weight
            total_weight += part.weight
        best = max(range(len(parts)), key=credits_by_part.__getitem__)
        credits_by_part[best] -= total_weight
        return parts[best].service


def effective_priority(
    route: SiteRoute, workspace: SiteWorkspace | None
) -> int:
    """Return the priority of a caller's request.

    It is always below the priorities of calls.
    """
    wanted = route.priority
    if workspace is not None and workspace.priority is not None:
        wanted = workspace.priority
    return max(0, min(HIGHEST_CALLER_PRIORITY, wanted))


def call_priority(chain: int) -> int:
    """Return the priority of a call from that of the request it serves.

    Calls keep the order of the first requests of their chains, at any depth.
    """
    if chain > HIGHEST_CALLER_PRIORITY:
        return min(HIGHEST_CALL_PRIORITY, chain)
    return LOWEST_CALL_PRIORITY + max(0, chain)
