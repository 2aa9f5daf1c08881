"""The choice of one target out of those of a service.

The targets stand in groups by distance. A choice walks through steps, each
a group and a test, until two random targets pass the test; the less loaded
one is taken. In a large group only some targets are drawn and tested, so
that the cost of a choice does not grow with the fleet.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.targets import Claim, Distance, TargetState

FIRST_DRAWS = 4
MAX_DRAWS = 32

_Targets = list[TargetState]
_Test = Callable[[TargetState], bool]


@dataclass(slots=True)
class TargetGroup:
    """Hold the targets of one service by distance."""

    local: _Targets = field(default_factory=list)
    regional: _Targets = field(default_factory=list)
    far: _Targets = field(default_factory=list)
    near: _Targets = field(default_factory=list)
    everyone: _Targets = field(default_factory=list)

    def add(self, target: TargetState) -> None:
        """Add a target to its lists."""
        for targets in self._lists(target):
            targets.append(target)

    def remove(self, target: TargetState) -> None:
        """Remove a target from its lists."""
        for targets in self._lists(target):
            targets.remove(target)

    def _lists(self, target: TargetState) -> tuple[_Targets, ...]:
        match target.distance:
            case Distance.DATA_CENTER:
                return (self.local, self.near, self.everyone)
            case Distance.REGION:
                return (self.regional, self.near, self.everyone)
            case Distance.FAR:
                return (self.far, self.everyone)


@dataclass(frozen=True, slots=True)
class Choice:
    """Find the target of one attempt."""

    group: TargetGroup
    claim: Claim
    excluded: frozenset[str]
    now: float
    rng: Randomness

    def best(self, large: bool) -> TargetState | None:
        """Return the best target for a small or a large body."""
        for targets, test in self._steps(large):
            target = self._draw(targets, test)
            if target is not None:
                return target
        if all(self._is_ejected(one) for one in self._accepting()):
            return self._draw(self.group.everyone, self._is_possible)
        return None

    def is_invited(self, target: TargetState) -> bool:
        """Return whether the last report of the target admits the attempt."""
        report = target.report
        return report is None or report.prompt <= self.claim.priority

    def refusal(self) -> Refusal:
        """Return why no target was found."""
        if any(True for _ in self._accepting()):
            return Refusal.SHED
        states = {one.state for one in self.group.everyone}
        if UpstreamState.DRAINING in states:
            return Refusal.DRAINING
        return Refusal.NO_UPSTREAM

    def _steps(self, large: bool) -> Iterator[tuple[_Targets, _Test]]:
        group = self.group
        yield (group.local, self._is_prompt)
        yield (group.regional, self._is_prompt)
        if large:
            yield (group.near, self._is_open)
        yield (group.far, self._is_prompt)
        yield (group.near, self._is_open)
        yield (group.far, self._is_open)
        yield (group.near, self._is_admitting)
        yield (group.far, self._is_admitting)
        yield (group.everyone, self._is_suspect)

    def _draw(self, targets: _Targets, test: _Test) -> TargetState | None:
        """Return the less loaded of two random targets that pass a test."""
        if len(targets) > FIRST_DRAWS:
            passing = self._some(targets, test, FIRST_DRAWS)
            if not passing and len(targets) > MAX_DRAWS:
                passing = self._some(targets, test, MAX_DRAWS)
            if passing or len(targets) > MAX_DRAWS:
                return min(passing[:2], key=self._load, default=None)
        passing = [one for one in targets if test(one)]
        if len(passing) > 2:
            first = self._any(passing)
            passing.remove(first)
            passing = [first, self._any(passing)]
        return min(passing, key=self._load, default=None)

    def _some(self, targets: _Targets, test: _Test, draws: int) -> _Targets:
        drawn = [self._any(targets) for _ in range(draws)]
        return [one for one in drawn if test(one)]

    def _any(self, targets: _Targets) -> TargetState:
        return targets[self.rng.randrange(len(targets))]

    def _load(self, target: TargetState) -> float:
        return target.load(self.now)

    def _is_prompt(self, target: TargetState) -> bool:
        """Accept a target that would start the attempt soon."""
        prompt = target.is_prompt(self.claim.priority, self.now)
        refused = target.has_refused(self.claim, self.now)
        return prompt and not refused and self._is_usable(target)

    def _is_open(self, target: TargetState) -> bool:
        """Accept a target that did not refuse the same lately."""
        refused = target.has_refused(self.claim, self.now)
        return not refused and self._is_admitting(target)

    def _is_admitting(self, target: TargetState) -> bool:
        admits = target.admits(self.claim.priority, self.now)
        return admits and self._is_usable(target)

    def _is_suspect(self, target: TargetState) -> bool:
        """Accept a suspect target, but never one that is ejected."""
        if self._is_ejected(target):
            return False
        admits = target.admits(self.claim.priority, self.now)
        return admits and self._is_possible(target)

    def _is_usable(self, target: TargetState) -> bool:
        if not self._is_possible(target) or not target.is_healthy(self.now):
            return False
        return self.rng.random() < target.return_share(self.now)

    def _is_possible(self, target: TargetState) -> bool:
        return target.accepts() and target.host not in self.excluded

    def _is_ejected(self, target: TargetState) -> bool:
        return target.ejected_until > self.now

    def _accepting(self) -> Iterator[TargetState]:
        return (one for one in self.group.everyone if one.accepts())
