"""Which target gets the next attempt of a call.

Of two random candidates the less loaded one wins. The own data centre goes
first, then the own region; the other region only when no nearer target has
room for that priority, and for large bodies only when no nearer gate admits
them at all, since the link between regions is slow and paid for by volume.
The choice itself stands in `selection.py`, and
what a target is known to be in `targets.py`.
"""

from collections import Counter
from dataclasses import dataclass

from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import LOWEST_PRIORITY, OPEN_WORKSPACE
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.selection import Choice, TargetGroup
from dragonflyknot.decisions.targets import Claim, Distance, Ending, TargetState

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

MAX_EJECTED_SHARE = 0.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class TargetSeen:
    """Report what gossip or the table says about a target."""

    host: str
    incarnation: int
    service: str
    data_center: str
    region: str
    state: UpstreamState
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TargetGone:
    """Report that a target left."""

    host: str


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """Report that an attempt with a body of so many bytes is on its way."""

    host: str
    attempt_id: str
    body_bytes: int
    workspace: str = OPEN_WORKSPACE
    priority: int = LOWEST_PRIORITY


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report the end of an attempt and the load that came with it."""

    host: str
    attempt_id: str
    ending: Ending
    report: LoadReport | None = None
    answer_bytes: int = 0


Event = TargetSeen | TargetGone | AttemptSent | AttemptEnded


@dataclass(frozen=True, slots=True)
class Target:
    """Name the gate that gets the attempt."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class NoTarget:
    """Say why no gate gets the attempt; the delay is in seconds."""

    refusal: Refusal
    retry_after_s: float


class Router:
    """Choose targets for the attempts of one daemon."""

    def __init__(self, host: str, data_center: str, region: str) -> None:
        """Start without targets at a known place."""
        self.host = host
        self.link_bytes_by_region: Counter[str] = Counter()
        self._data_center = data_center
        self._region = region
        self._targets_by_host: dict[str, TargetState] = {}
        self._groups_by_service: dict[str, TargetGroup] = {}

    def handle(self, event: Event, now: float) -> None:
        """Take an event."""
        match event:
            case TargetSeen():
                self._see(event, now)
            case TargetGone(host):
                self._forget(host)
            case AttemptSent():
                self._send(event)
            case AttemptEnded():
                self._end(event, now)

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

        `large` marks bodies that should stay off the link between regions;
        `excluded` names the hosts that this call has already tried.
        """
        group = self._groups_by_service.get(service)
        if group is None:
            return NoTarget(Refusal.NO_UPSTREAM, RETRY_AFTER_S)
        claim = Claim(workspace, priority)
        choice = Choice(group, claim, excluded, now, rng)
        target = choice.best(large)
        if target is None:
            return NoTarget(choice.refusal(), RETRY_AFTER_S)
        if not choice.is_invited(target):
            target.probed_at = now
        return Target(target.host, target.incarnation)

    @property
    def link_bytes(self) -> int:
        """Return the body bytes exchanged with other regions."""
        return self.link_bytes_by_region.total()

    def in_flight(self, host: str) -> int:
        """Return how many attempts of this daemon are at a host."""
        target = self._targets_by_host.get(host)
        return target.in_flight if target else 0

    def targets(self) -> tuple[TargetState, ...]:
        """Return what is known, for the state dump."""
        return tuple(self._targets_by_host.values())

    def _see(self, event: TargetSeen, now: float) -> None:
        known = self._targets_by_host.get(event.host)
        if known is not None and known.incarnation > event.incarnation:
            return
        if known is None or _is_replaced(known, event):
            self._forget(event.host)
            known = self._add(event)
        known.hear(event.state, now)
        if event.report is not None:
            known.overhear(event.report, now)

    def _add(self, event: TargetSeen) -> TargetState:
        target = TargetState(
            host=event.host,
            incarnation=event.incarnation,
            service=event.service,
            data_center=event.data_center,
            region=event.region,
            distance=self._distance(event.data_center, event.region),
            state=event.state,
        )
        self._targets_by_host[event.host] = target
        group = self._groups_by_service.setdefault(event.service, TargetGroup())
        group.add(target)
        return target

    def _forget(self, host: str) -> None:
        target = self._targets_by_host.pop(host, None)
        if target is None:
            return
        group = self._groups_by_service[target.service]
        group.remove(target)
        if not group.everyone:
            self._groups_by_service.pop(target.service)

    def _send(self, event: AttemptSent) -> None:
        target = self._targets_by_host.get(event.host)
        if target is not None:
            claim = Claim(event.workspace, event.priority)
            target.claims_by_attempt[event.attempt_id] = claim
            self._count_link(target, event.body_bytes)

    def _end(self, event: AttemptEnded, now: float) -> None:
        target = self._targets_by_host.get(event.host)
        if target is None:
            return
        claim = target.claims_by_attempt.pop(event.attempt_id, None)
        if claim is None:
            return
        if event.ending is Ending.REFUSED:
            target.refused(claim, now)
        self._count_link(target, event.answer_bytes)
        if event.report is not None:
            target.learn(event.report, now)
        if target.ended(event.ending, now) and self._may_eject(target, now):
            target.eject(now)

    def _may_eject(self, target: TargetState, now: float) -> bool:
        everyone = self._groups_by_service[target.service].everyone
        ejected = sum(1 for one in everyone if one.ejected_until > now)
        return ejected + 1 <= len(everyone) * MAX_EJECTED_SHARE

    def _count_link(self, target: TargetState, count: int) -> None:
        if target.distance is Distance.FAR:
            self.link_bytes_by_region[target.region] += count

    def _distance(self, data_center: str, region: str) -> Distance:
        if data_center == self._data_center:
            return Distance.DATA_CENTER
        return Distance.REGION if region == self._region else Distance.FAR


def _is_replaced(known: TargetState, event: TargetSeen) -> bool:
    return (
        known.incarnation != event.incarnation
        or known.service != event.service
        or known.data_center != event.data_center
        or known.region != event.region
    )
