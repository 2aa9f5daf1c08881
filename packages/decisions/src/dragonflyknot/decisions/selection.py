"""Selection of one target among those of a service.

Targets are grouped by locality. A selection goes through a list of steps,
each a group and a predicate, and takes the less loaded of two random
targets from the first step that has a match. In a large group only a sample
of the targets is tested, so that the cost of a selection does not grow with
the fleet.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.targets import Locality, RequestClass, TargetState

# Targets sampled from a large group, and again if none of the first matches.
FIRST_SAMPLE_TARGETS = 4
MAX_SAMPLE_TARGETS = 32

_Targets = list[TargetState]
_Predicate = Callable[[TargetState], bool]


@dataclass(slots=True)
class TargetGroup:
    """Hold the targets of one service by locality.

    `local` are those of the local data centre, `regional` the others of the
    local region, and `same_region` both.
    """

    local: _Targets = field(default_factory=list)
    regional: _Targets = field(default_factory=list)
    other_region: _Targets = field(default_factory=list)
    same_region: _Targets = field(default_factory=list)
    all_targets: _Targets = field(default_factory=list)

    def add(self, target: TargetState) -> None:
        """Add a target to its lists."""
        for targets in self._lists(target):
            targets.append(target)

    def remove(self, target: TargetState) -> None:
        """Remove a target from its lists."""
        for targets in self._lists(target):
            targets.remove(target)

    def _lists(self, target: TargetState) -> tuple[_Targets, ...]:
        match target.locality:
            case Locality.DATA_CENTER:
                return (self.local, self.same_region, self.all_targets)
            case Locality.REGION:
                return (self.regional, self.same_region, self.all_targets)
            case Locality.OTHER_REGION:
                return (self.other_region, self.all_targets)


@dataclass(frozen=True, slots=True)
class TargetSelection:
    """Select the target of one attempt."""

    group: TargetGroup
    request_class: RequestClass
    excluded: frozenset[str]
    now: float
    rng: Randomness

    def select(self, large: bool) -> TargetState | None:
        """Return the target for a small or a large body, or None."""
        for targets, matches in self._steps(large):
            target = self._select_less_loaded(targets, matches)
            if target is not None:
                return target
        if all(self._is_ejected(other) for other in self._accepting_targets()):
            return self._select_less_loaded(
                self.group.all_targets, self._is_eligible
            )
        return None

    def reports_prompt_start(self, target: TargetState) -> bool:
        """Return whether the last report promises a prompt start."""
        report = target.report
        return report is None or report.prompt <= self.request_class.priority

    def refusal(self) -> Refusal:
        """Return why no target was selected."""
        if any(True for _ in self._accepting_targets()):
            return Refusal.SHED
        states = {target.state for target in self.group.all_targets}
        if UpstreamState.DRAINING in states:
            return Refusal.DRAINING
        return Refusal.NO_UPSTREAM

    def _steps(self, large: bool) -> Iterator[tuple[_Targets, _Predicate]]:
        group = self.group
        yield (group.local, self._starts_soon)
        yield (group.regional, self._starts_soon)
        if large:
            yield (group.same_region, self._admits_unrefused)
        yield (group.other_region, self._starts_soon)
        yield (group.same_region, self._admits_unrefused)
        yield (group.other_region, self._admits_unrefused)
        yield (group.same_region, self._admits)
        yield (group.other_region, self._admits)
        yield (group.all_targets, self._admits_as_suspect)

    def _select_less_loaded(
        self, targets: _Targets, matches: _Predicate
    ) -> TargetState | None:
        """Return the less loaded of two random targets that match."""
        if len(targets) > FIRST_SAMPLE_TARGETS:
            matching = self._sample_matching(
                targets, matches, FIRST_SAMPLE_TARGETS
            )
            if not matching and len(targets) > MAX_SAMPLE_TARGETS:
                matching = self._sample_matching(
                    targets, matches, MAX_SAMPLE_TARGETS
                )
            if matching or len(targets) > MAX_SAMPLE_TARGETS:
                return min(matching[:2], key=self._load, default=None)
        matching = [target for target in targets if matches(target)]
        if len(matching) > 2:
            first = self._random_target(matching)
            matching.remove(first)
            matching = [first, self._random_target(matching)]
        return min(matching, key=self._load, default=None)

    def _sample_matching(
        self, targets: _Targets, matches: _Predicate, sample_size: int
    ) -> _Targets:
        sample = [self._random_target(targets) for _ in range(sample_size)]
        return [target for target in sample if matches(target)]

    def _random_target(self, targets: _Targets) -> TargetState:
        return targets[self.rng.randrange(len(targets))]

    def _load(self, target: TargetState) -> float:
        return target.load(self.now)

    def _starts_soon(self, target: TargetState) -> bool:
        """Accept a usable target that would start the attempt soon."""
        is_prompt = target.starts_soon(self.request_class.priority, self.now)
        refused = target.has_refused(self.request_class, self.now)
        return is_prompt and not refused and self._is_usable(target)

    def _admits_unrefused(self, target: TargetState) -> bool:
        """Accept a target that admits and has not recently refused."""
        refused = target.has_refused(self.request_class, self.now)
        return not refused and self._admits(target)

    def _admits(self, target: TargetState) -> bool:
        admits = target.admits(self.request_class.priority, self.now)
        return admits and self._is_usable(target)

    def _admits_as_suspect(self, target: TargetState) -> bool:
        """Accept a suspect target, but not an ejected one."""
        if self._is_ejected(target):
            return False
        admits = target.admits(self.request_class.priority, self.now)
        return admits and self._is_eligible(target)

    def _is_usable(self, target: TargetState) -> bool:
        if not self._is_eligible(target) or not target.is_healthy(self.now):
            return False
        return self.rng.random() < target.recovery_fraction(self.now)

    def _is_eligible(self, target: TargetState) -> bool:
        return target.accepts() and target.host not in self.excluded

    def _is_ejected(self, target: TargetState) -> bool:
        return target.ejected_until > self.now

    def _accepting_targets(self) -> Iterator[TargetState]:
        return (target for target in self.group.all_targets if target.accepts())
