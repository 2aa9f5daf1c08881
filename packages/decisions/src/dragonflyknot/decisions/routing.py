"""Load balancing of attempts over the targets of a service.

A target is the gate of one upstream. The less loaded of two random
candidates is chosen. Targets in the local data centre are preferred, then
those in the local region. A small body goes to another region only if no
target in the local region has capacity for its priority, a large one only
if no gate there admits it at all, because the link between regions is slow
and billed by volume. `selection.py` implements the choice, `targets.py` the
state of a target.
"""

from collections import Counter
from dataclasses import dataclass

from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import LOWEST_PRIORITY, OPEN_WORKSPACE
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.selection import TargetGroup, TargetSelection
from dragonflyknot.decisions.targets import (
    Ending,
    Locality,
    RequestClass,
    TargetState,
)

__all__ = (
    'AttemptEnded',
    'AttemptSent',
    'Ending',
    'NoTarget',
    'Router',
    'Target',
    'TargetGone',
    'TargetSeen',
)

MAX_EJECTED_FRACTION = 0.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class TargetSeen:
    """Report the state of a target, from gossip or the table."""

    host: str
    incarnation: int
    service: str
    data_center: str
    region: str
    state: UpstreamState
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TargetGone:
    """Report that a target has left the fleet."""

    host: str


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """Report that an attempt was sent, with the size of its body."""

    host: str
    attempt_id: str
    body_bytes: int
    workspace: str = OPEN_WORKSPACE
    priority: int = LOWEST_PRIORITY


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report the end of an attempt, with the load report it returned."""

    host: str
    attempt_id: str
    ending: Ending
    report: LoadReport | None = None
    answer_bytes: int = 0


Event = TargetSeen | TargetGone | AttemptSent | AttemptEnded


@dataclass(frozen=True, slots=True)
class Target:
    """Identify the gate to send the attempt to."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class NoTarget:
    """Report that no gate can take the attempt, and why."""

    refusal: Refusal
    retry_after_s: float


class Router:
    """Choose targets for the attempts of one daemon."""

    def __init__(self, host: str, data_center: str, region: str) -> None:
        """Start without targets, at the given location."""
        self.host = host
        self.link_bytes_by_region: Counter[str] = Counter()
        self._data_center = data_center
        self._region = region
        self._targets_by_host: dict[str, TargetState] = {}
        self._groups_by_service: dict[str, TargetGroup] = {}

    def handle(self, event: Event, now: float) -> None:
        """Apply an event."""
        match event:
            case TargetSeen():
                self._update_target(event, now)
            case TargetGone(host):
                self._remove_target(host)
            case AttemptSent():
                self._record_sent(event)
            case AttemptEnded():
                self._record_ended(event, now)

    def choose(
        self,
        service: str,
        priority: int,
        excluded: frozenset[str],
        large: bool,
        now: float,
        rng: Randomness,
        workspace: str = OPEN_WORKSPACE,
    ) -> Target | NoTarget:
        """Return the target of an attempt, or why there is none.

        `large` marks bodies that should not cross the link between regions.
        `excluded` are the hosts that this call has already tried.
        """
        group = self._groups_by_service.get(service)
        if group is None:
            return NoTarget(Refusal.NO_UPSTREAM, RETRY_AFTER_S)
        request_class = RequestClass(workspace, priority)
        selection = TargetSelection(group, request_class, excluded, now, rng)
        target = selection.select(large)
        if target is None:
            return NoTarget(selection.refusal(), RETRY_AFTER_S)
        if not selection.reports_prompt_start(target):
            target.probed_at = now
        return Target(target.host, target.incarnation)

    @property
    def link_bytes(self) -> int:
        """Return the body bytes exchanged with other regions."""
        return self.link_bytes_by_region.total()

    def in_flight(self, host: str) -> int:
        """Return the number of this daemon's attempts in flight at a host."""
        target = self._targets_by_host.get(host)
        return target.in_flight if target else 0

    def targets(self) -> tuple[TargetState, ...]:
        """Return the state of every target, for the state dump."""
        return tuple(self._targets_by_host.values())

    def _update_target(self, event: TargetSeen, now: float) -> None:
        known = self._targets_by_host.get(event.host)
        if known is not None and known.incarnation > event.incarnation:
            return
        if known is None or _is_replaced(known, event):
            self._remove_target(event.host)
            known = self._add_target(event)
        known.record_gossip_state(event.state, now)
        if event.report is not None:
            known.record_gossip_report(event.report, now)

    def _add_target(self, event: TargetSeen) -> TargetState:
        target = TargetState(
            host=event.host,
            incarnation=event.incarnation,
            service=event.service,
            data_center=event.data_center,
            region=event.region,
            locality=self._locality_of(event.data_center, event.region),
            state=event.state,
        )
        self._targets_by_host[event.host] = target
        group = self._groups_by_service.setdefault(event.service, TargetGroup())
        group.add(target)
        return target

    def _remove_target(self, host: str) -> None:
        target = self._targets_by_host.pop(host, None)
        if target is None:
            return
        group = self._groups_by_service[target.service]
        group.remove(target)
        if not group.all_targets:
            self._groups_by_service.pop(target.service)

    def _record_sent(self, event: AttemptSent) -> None:
        target = self._targets_by_host.get(event.host)
        if target is not None:
            request_class = RequestClass(event.workspace, event.priority)
            target.request_classes_by_attempt[event.attempt_id] = request_class
            self._count_link_bytes(target, event.body_bytes)

    def _record_ended(self, event: AttemptEnded, now: float) -> None:
        target = self._targets_by_host.get(event.host)
        if target is None:
            return
        request_class = target.request_classes_by_attempt.pop(
            event.attempt_id, None
        )
        if request_class is None:
            return
        if event.ending is Ending.REFUSED:
            target.record_refusal(request_class, now)
        self._count_link_bytes(target, event.answer_bytes)
        if event.report is not None:
            target.record_direct_report(event.report, now)
        if target.record_ending(event.ending, now) and self._may_eject(
            target, now
        ):
            target.eject(now)

    def _may_eject(self, target: TargetState, now: float) -> bool:
        targets = self._groups_by_service[target.service].all_targets
        ejected = sum(1 for other in targets if other.ejected_until > now)
        return ejected + 1 <= len(targets) * MAX_EJECTED_FRACTION

    def _count_link_bytes(self, target: TargetState, byte_count: int) -> None:
        if target.locality is Locality.OTHER_REGION:
            self.link_bytes_by_region[target.region] += byte_count

    def _locality_of(self, data_center: str, region: str) -> Locality:
        if data_center == self._data_center:
            return Locality.DATA_CENTER
        return (
            Locality.REGION if region == self._region else Locality.OTHER_REGION
        )


def _is_replaced(known: TargetState, event: TargetSeen) -> bool:
    return (
        known.incarnation != event.incarnation
        or known.service != event.service
        or known.data_center != event.data_center
        or known.region != event.region
    )
