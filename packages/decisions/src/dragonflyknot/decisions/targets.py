"""What a router knows about one target: reports, own attempts, failures.

Reports of a gate age; what this daemon saw itself decides. Failures in a
row eject a target for a time that doubles, and it comes back slowly. A
silent attempt makes the target suspect until something succeeds there.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from math import exp

from dragonflyknot.decisions.calls import LoadReport, UpstreamState

FAILURES_IN_A_ROW = 5
EJECTION_BASE_S = 1.0
EJECTION_CEILING_S = 30.0
RETURN_S = 5.0
SUSPICION_S = 1.0
REPORT_AGE_S = 0.5
PROBE_INTERVAL_S = 0.1
FRESH_S = 0.02
HEARSAY_DELAY_S = 3.0
REFUSED_S = 0.2
MAX_REFUSED_CLAIMS = 1024


@unique
class Ending(Enum):
    """Say how an attempt ended, as the edge saw it.

    `UNREACHABLE` means that no connection came about, so nothing ran.
    `DEEPER` is a failure that a deeper service caused.
    """

    DONE = 'done'
    DEEPER = 'deeper'
    REFUSED = 'refused'
    FAILED = 'failed'
    SILENT = 'silent'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


@unique
class Distance(Enum):
    """Order targets by what the way to them costs."""

    DATA_CENTER = 0
    REGION = 1
    FAR = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """Say for whom and how urgently an attempt asks."""

    workspace: str
    priority: int


@dataclass(slots=True)
class TargetState:
    """Hold what is known about a target; times are monotonic seconds."""

    host: str
    incarnation: int
    service: str
    data_center: str
    region: str
    distance: Distance
    state: UpstreamState
    report: LoadReport | None = None
    reported_at: float = 0
    reported_directly: bool = False
    own_at_report: int = 0
    claims_by_attempt: dict[str, Claim] = field(default_factory=dict)
    refused_until_by_claim: dict[Claim, float] = field(default_factory=dict)
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    returning_from: float = 0
    suspect_until: float = 0
    probed_at: float = 0

    @property
    def in_flight(self) -> int:
        """Return how many attempts of this daemon are there."""
        return len(self.claims_by_attempt)

    def learn(self, report: LoadReport, now: float) -> None:
        """Take a load report that came with an answer."""
        self.reported_directly = True
        self.state = report.state
        self._keep(report, now)

    def overhear(self, report: LoadReport, now: float) -> None:
        """Take a load report that came by gossip, if it isn't older news."""
        if self.reported_directly and now - self.reported_at < HEARSAY_DELAY_S:
            return
        self.reported_directly = False
        self._keep(report, now)

    def hear(self, state: UpstreamState, now: float) -> None:
        """Take a state that came by gossip, unless an answer knows better."""
        recent = now - self.reported_at < HEARSAY_DELAY_S
        if state is UpstreamState.READY and recent and self.reported_directly:
            return
        self.state = state

    def accepts(self) -> bool:
        """Return whether the target takes new work at all."""
        return self.state is UpstreamState.READY

    def is_healthy(self, now: float) -> bool:
        """Return whether the target is neither ejected nor suspect."""
        return now >= self.ejected_until and now >= self.suspect_until

    def load(self, now: float) -> float:
        """Return the estimated share of the limit that is in use."""
        own = self.in_flight
        if self.report is None:
            return float(own)
        busy = self.report.running + self.report.queued
        others = max(0, busy - self.own_at_report)
        age_s = now - self.reported_at
        aged = others * exp(-age_s / REPORT_AGE_S)
        estimate = (own + aged + 1) / max(1, self.report.limit)
        return estimate * self._return_penalty(now)

    def admits(self, priority: int, now: float) -> bool:
        """Return whether the gate would take or queue the priority."""
        report = self.report
        if report is None or report.threshold <= priority:
            return True
        return self._may_probe(now)

    def has_refused(self, claim: Claim, now: float) -> bool:
        """Return whether the gate has lately refused such an attempt."""
        return self.refused_until_by_claim.get(claim, 0) > now

    def refused(self, claim: Claim, now: float) -> None:
        """Remember a refusal for a short time."""
        if len(self.refused_until_by_claim) >= MAX_REFUSED_CLAIMS:
            self.refused_until_by_claim.clear()
        self.refused_until_by_claim[claim] = now + REFUSED_S

    def is_prompt(self, priority: int, now: float) -> bool:
        """Return whether the gate would start the priority soon."""
        report = self.report
        if report is None:
            return True
        if report.prompt > priority:
            return self._may_probe(now)
        return report.prompt > 0 or self.load(now) <= 1

    def ended(self, ending: Ending, now: float) -> bool:
        """Count an ending; return whether the target should be ejected."""
        match ending:
            case Ending.DONE | Ending.DEEPER | Ending.REFUSED:
                self._succeed(now)
            case Ending.SILENT:
                self.suspect_until = now + SUSPICION_S
                self.failures += 1
            case Ending.FAILED | Ending.UNREACHABLE:
                self.failures += 1
            case Ending.CANCELLED:
                return False
        return self.failures >= FAILURES_IN_A_ROW

    def eject(self, now: float) -> None:
        """Take no new work there for a time that doubles each time."""
        seconds = min(EJECTION_CEILING_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until = now + seconds
        self.returning_from = self.ejected_until
        self.failures = 0

    def return_share(self, now: float) -> float:
        """Return the share of its work that a returning target gets."""
        if not self.ejections:
            return 1
        elapsed_s = now - self.returning_from
        return min(1, max(0.05, elapsed_s / RETURN_S))

    def _keep(self, report: LoadReport, now: float) -> None:
        self.report = report
        self.reported_at = now
        self.own_at_report = self.in_flight

    def _succeed(self, now: float) -> None:
        self.failures = 0
        self.suspect_until = 0
        if self.ejections and now - self.returning_from > RETURN_S:
            self.ejections = 0

    def _may_probe(self, now: float) -> bool:
        """Return whether the report is too old to refuse by it.

        Across the link between regions one probe has to do.
        """
        if self.distance is not Distance.FAR:
            return now - self.reported_at >= FRESH_S
        last = max(self.reported_at, self.probed_at)
        return now - last >= PROBE_INTERVAL_S

    def _return_penalty(self, now: float) -> float:
        return 1 / self.return_share(now)
