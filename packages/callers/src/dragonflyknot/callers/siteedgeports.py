"""Declare what the edge of a site needs from the rest of the daemon."""

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Protocol

from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.candidates import Candidate
from dragonflyknot.decisions.origins import Origin
from dragonflyknot.decisions.siteconfig import SiteConfiguration, SiteRoutes
from dragonflyknot.decisions.siteretries import SiteRetryBudget
from dragonflyknot.decisions.throttle import Throttle
from dragonflyknot.exchange.dialect import Dialect
from dragonflyknot.exchange.hopheaders import MS_PER_SECOND, Hop
from dragonflyknot.exchange.outcomes import Outcome, OutgoingRequest
from dragonflyknot.exchange.platformrefusals import PlatformRefusal
from dragonflyknot.exchange.telemetry import Histogram, RateLimitedLog


class Site(Protocol):
    """Provide the configuration in force."""

    @property
    def configuration(self) -> SiteConfiguration | None:
        """Return the configuration, None before the first one arrives."""

    @property
    def routes(self) -> SiteRoutes:
        """Return the routes of the configuration."""

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one arrives."""

    @property
    def is_current(self) -> bool:
        """Return whether no newer version can have been in force for long."""


class Rates(Protocol):
    """Limit the rates of workspaces."""

    def admit(self, workspace: str, now: float) -> bool:
        """Count a request; return whether it is within the rate."""

    def give_back(self, workspace: str, now: float) -> None:
        """Undo the count of a request that did not run."""


class Origins(Protocol):
    """Look up the requests that run at the upstream of this host."""

    def origin_of(self, request_id: bytes) -> Origin | None:
        """Return the request that a call serves, None if it is not a call."""


class Sender(Protocol):
    """Send attempts to gates."""

    async def send(
        self, candidate: Candidate, hop: Hop, outgoing: OutgoingRequest
    ) -> Outcome:
        """Send an attempt to the gate of a host."""


@unique
class LateAction(Enum):
    """Tell what was done about a late attempt."""

    HEDGED = 'hedged'
    KEPT = 'kept'


@dataclass(frozen=True, slots=True)
class LateAttempt:
    """Describe an attempt that is late at the gate of `host`."""

    request_id: str
    route: str
    host: str
    waited_s: float
    action: LateAction


@dataclass(slots=True)
class SiteEdgeCounts:
    """Count how requests ended and log refusals."""

    log: RateLimitedLog
    answered_by_status: Counter[int] = field(default_factory=Counter)
    refused_by_kind: Counter[str] = field(default_factory=Counter)
    latency: Histogram = field(default_factory=Histogram)
    late_by_action: Counter[str] = field(default_factory=Counter)
    cancelled: int = 0

    def answered(self, status: int) -> None:
        """Count an answer of an upstream by its status."""
        self.answered_by_status[status] += 1

    def refused(self, refused: PlatformRefusal) -> None:
        """Count and log a refusal."""
        self.refused_by_kind[refused.refusal.value] += 1
        self.log.write(
            'refused',
            request=refused.request_id,
            kind=refused.refusal.value,
            route=refused.route,
            workspace=refused.workspace,
            sends=refused.sends,
            last_host=refused.last_host,
            attempts=refused.attempts,
        )

    def late(self, late: LateAttempt) -> None:
        """Count and log a late attempt."""
        self.late_by_action[late.action.value] += 1
        self.log.write(
            'attempt_late',
            request=late.request_id,
            route=late.route,
            gate=late.host,
            waited_ms=round(late.waited_s * MS_PER_SECOND),
            action=late.action.value,
        )

    def record_latency(self, seconds: float) -> None:
        """Record the latency of a request."""
        self.latency.add(seconds)


@dataclass(frozen=True, slots=True)
class SiteEdgePorts:
    """Bundle what the edge needs from the rest of the daemon."""

    site: Site
    rates: Rates
    balancer: Balancer
    site_retries: SiteRetryBudget
    throttle: Throttle
    sender: Sender
    origins: Origins
    dialect: Dialect
    caller: str
    counts: SiteEdgeCounts
    rng: random.Random
