"""State of one target: load reports, attempts in flight and health.

The weight of a load report decays with its age, and direct reports take
precedence over gossip. Consecutive failures eject a target for a duration
that doubles each time; afterwards its traffic ramps up slowly. An attempt
without a response makes the target suspect, for a time or until another
attempt succeeds.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from math import exp

from dragonflyknot.decisions.calls import LoadReport, UpstreamState

EJECTION_CONSECUTIVE_FAILURES = 5
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RECOVERY_RAMP_S = 5.0
SUSPECT_DURATION_S = 1.0

# Time constant of the exponential decay of a reported load.
REPORT_DECAY_S = 0.5

# Minimum interval between probes of a target in another region.
PROBE_INTERVAL_S = 0.1

# Age at which a report from the local region no longer refuses an attempt.
LOCAL_REPORT_VALIDITY_S = 0.02

# Gossip is ignored for this long after a direct report, as it may be older.
DIRECT_REPORT_PRECEDENCE_S = 3.0

REFUSAL_VALIDITY_S = 0.2
MAX_REFUSED_CLASSES = 1024


@unique
class Ending(Enum):
    """Classify how an attempt ended, as observed by the edge.

    `SILENT` means that no response arrived. `UNREACHABLE` means that no
    connection was established, so the attempt did not run. `DEEPER` is a
    failure of a service further down the chain.
    """

    DONE = 'done'
    DEEPER = 'deeper'
    REFUSED = 'refused'
    FAILED = 'failed'
    SILENT = 'silent'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


@unique
class Locality(Enum):
    """Order targets by the cost of reaching them."""

    DATA_CENTER = 0
    REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Identify the attempts that a gate treats alike."""

    workspace: str
    priority: int


@dataclass(slots=True)
class TargetState:
    """Hold the state of a target; times are in monotonic seconds.

    `own_in_flight_at_report` is the part of the reported load that this
    daemon caused.
    """

    host: str
    incarnation: int
    service: str
    data_center: str
    region: str
    locality: Locality
    state: UpstreamState
    report: LoadReport | None = None
    reported_at: float = 0
    reported_directly: bool = False
    own_in_flight_at_report: int = 0
    request_classes_by_attempt: dict[str, RequestClass] = field(
        default_factory=dict
    )
    refused_until_by_class: dict[RequestClass, float] = field(
        default_factory=dict
    )
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    recovering_since: float = 0
    suspect_until: float = 0
    probed_at: float = 0

    @property
    def in_flight(self) -> int:
        """Return the number of this daemon's attempts in flight."""
        return len(self.request_classes_by_attempt)

    def record_direct_report(self, report: LoadReport, now: float) -> None:
        """Record a load report received with a response."""
        self.reported_directly = True
        self.state = report.state
        self._store_report(report, now)

    def record_gossip_report(self, report: LoadReport, now: float) -> None:
        """Record a load report from gossip, unless a direct one is recent."""
        if (
            self.reported_directly
            and now - self.reported_at < DIRECT_REPORT_PRECEDENCE_S
        ):
            return
        self.reported_directly = False
        self._store_report(report, now)

    def record_gossip_state(self, state: UpstreamState, now: float) -> None:
        """Record a state from gossip.

        A ready state is ignored if a direct report is recent.
        """
        is_recent = now - self.reported_at < DIRECT_REPORT_PRECEDENCE_S
        if (
            state is UpstreamState.READY
            and is_recent
            and self.reported_directly
        ):
            return
        self.state = state

    def accepts(self) -> bool:
        """Return whether the target accepts new attempts."""
        return self.state is UpstreamState.READY

    def is_healthy(self, now: float) -> bool:
        """Return whether the target is neither ejected nor suspect."""
        return now >= self.ejected_until and now >= self.suspect_until

    def load(self, now: float) -> float:
        """Return the estimated fraction of the limit in use.

        It is increased while the target recovers from an ejection.
        """
        own = self.in_flight
        if self.report is None:
            return float(own)
        reported_load = self.report.running + self.report.queued
        others = max(0, reported_load - self.own_in_flight_at_report)
        age_s = now - self.reported_at
        decayed = others * exp(-age_s / REPORT_DECAY_S)
        estimate = (own + decayed + 1) / max(1, self.report.limit)
        return estimate * self._recovery_penalty(now)

    def admits(self, priority: int, now: float) -> bool:
        """Return whether the gate would start or queue the priority."""
        report = self.report
        if report is None or report.threshold <= priority:
            return True
        return self._may_probe(now)

    def has_refused(self, request_class: RequestClass, now: float) -> bool:
        """Return whether the gate has recently refused the class."""
        return self.refused_until_by_class.get(request_class, 0) > now

    def record_refusal(self, request_class: RequestClass, now: float) -> None:
        """Record a refusal, which counts for a short time."""
        if len(self.refused_until_by_class) >= MAX_REFUSED_CLASSES:
            self.refused_until_by_class.clear()
        self.refused_until_by_class[request_class] = now + REFUSAL_VALIDITY_S

    def starts_soon(self, priority: int, now: float) -> bool:
        """Return whether the gate would start the priority soon."""
        report = self.report
        if report is None:
            return True
        if report.prompt > priority:
            return self._may_probe(now)
        return report.prompt > 0 or self.load(now) <= 1

    def record_ending(self, ending: Ending, now: float) -> bool:
        """Record an ending; return whether to eject the target."""
        match ending:
            case Ending.DONE | Ending.DEEPER | Ending.REFUSED:
                self._record_success(now)
            case Ending.SILENT:
                self.suspect_until = now + SUSPECT_DURATION_S
                self.failures += 1
            case Ending.FAILED | Ending.UNREACHABLE:
                self.failures += 1
            case Ending.CANCELLED:
                return False
        return self.failures >= EJECTION_CONSECUTIVE_FAILURES

    def eject(self, now: float) -> None:
        """Eject the target; the duration doubles up to `MAX_EJECTION_S`."""
        ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until = now + ejection_s
        self.recovering_since = self.ejected_until
        self.failures = 0

    def recovery_fraction(self, now: float) -> float:
        """Return the fraction of its traffic that a recovering target gets."""
        if not self.ejections:
            return 1
        elapsed_s = now - self.recovering_since
        return min(1, max(0.05, elapsed_s / RECOVERY_RAMP_S))

    def _store_report(self, report: LoadReport, now: float) -> None:
        self.report = report
        self.reported_at = now
        self.own_in_flight_at_report = self.in_flight

    def _record_success(self, now: float) -> None:
        self.failures = 0
        self.suspect_until = 0
        if self.ejections and now - self.recovering_since > RECOVERY_RAMP_S:
            self.ejections = 0

    def _may_probe(self, now: float) -> bool:
        """Return whether to send an attempt despite the last report.

        A report from the local region counts only briefly. In another region
        one probe per interval is sent.
        """
        if self.locality is not Locality.OTHER_REGION:
            return now - self.reported_at >= LOCAL_REPORT_VALIDITY_S
        last_sent_at = max(self.reported_at, self.probed_at)
        return now - last_sent_at >= PROBE_INTERVAL_S

    def _recovery_penalty(self, now: float) -> float:
        return 1 / self.recovery_fraction(now)
