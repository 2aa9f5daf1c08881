"""Invariants of the router after every step of a random history."""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dragonflyknot.decisions import routing
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.routing import Ending
from dragonflyknot.decisions.targets import Locality

HOSTS = tuple(f'host-{number}' for number in range(6))
STATES = (UpstreamState.READY, *UpstreamState)
ENDINGS = (Ending.FAILED, *Ending)


class Step(NamedTuple):
    kind: str
    host: int
    number: int
    priority: int
    seconds: float


STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(('seen', 'gone', 'choose', 'choose', 'end', 'end')),
        st.integers(0, len(HOSTS) - 1),
        st.integers(0, 40),
        st.integers(0, 9),
        st.floats(0, 0.7),
    ),
    max_size=120,
)


@dataclass
class History:
    """Drive a router and check each choice."""

    case: TestCase
    router: routing.Router = field(
        default_factory=lambda: routing.Router('me', 'dc-0', 'north')
    )
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    now: float = 0
    sent: list[tuple[str, str]] = field(default_factory=list)

    def apply(self, step: Step, number: int) -> None:
        self.now += step.seconds
        host = HOSTS[step.host]
        match step.kind:
            case 'seen':
                self._see(host, step)
            case 'gone':
                self.router.handle(routing.TargetGone(host), self.now)
            case 'choose':
                self._choose(step, str(number))
            case _ if self.sent:
                self._end(step)

    def _see(self, host: str, step: Step) -> None:
        location = HOSTS.index(host) % 3
        event = routing.TargetSeen(
            host,
            step.number % 2,
            's',
            f'dc-{location}',
            'south' if location == 2 else 'north',
            STATES[step.number % len(STATES)],
            _report(step),
        )
        self.router.handle(event, self.now)

    def _choose(self, step: Step, name: str) -> None:
        excluded = frozenset({HOSTS[step.host]})
        large = step.number % 2 == 0
        before = {
            target.host: target.admits(step.priority, self.now)
            for target in self.router.targets()
            if target.accepts()
            and target.host not in excluded
            and target.is_healthy(self.now)
            and not target.ejections
            and not target.refused_until_by_class
            and target.locality is not Locality.OTHER_REGION
        }
        choice = self.router.choose(
            's', step.priority, excluded, large, self.now, self.rng
        )
        if isinstance(choice, routing.NoTarget):
            self.case.assertFalse(any(before.values()))
            return
        self._check(choice.host, excluded)
        if large and any(before.values()):
            self.case.assertIsNot(
                Locality.OTHER_REGION, self._locality_of(choice.host)
            )
        event = routing.AttemptSent(choice.host, name, 10, 'w', step.priority)
        self.router.handle(event, self.now)
        self.sent.append((choice.host, name))

    def _check(self, host: str, excluded: frozenset[str]) -> None:
        states = {target.host: target for target in self.router.targets()}
        self.case.assertNotIn(host, excluded)
        self.case.assertIs(UpstreamState.READY, states[host].state)
        ejected = states[host].ejected_until > self.now
        accepting = [target for target in states.values() if target.accepts()]
        not_ejected = [
            target for target in accepting if target.ejected_until <= self.now
        ]
        self.case.assertFalse(ejected and not_ejected)

    def _locality_of(self, host: str) -> Locality:
        states = {target.host: target for target in self.router.targets()}
        return states[host].locality

    def _end(self, step: Step) -> None:
        host, name = self.sent.pop(step.number % len(self.sent))
        ending = ENDINGS[step.number % len(ENDINGS)]
        event = routing.AttemptEnded(host, name, ending)
        before = self.router.in_flight(host)
        self.router.handle(event, self.now)
        self.router.handle(event, self.now)
        after = self.router.in_flight(host)
        self.case.assertIn(before - after, {0, 1})

    def check_ejections(self) -> None:
        targets = self.router.targets()
        ejected = [
            target for target in targets if target.ejected_until > self.now
        ]
        self.case.assertTrue(len(ejected) <= max(1, len(HOSTS) / 2))


class RoutingRulesTest(TestCase):
    """Each choice goes to an accepting target, a nearby one if possible."""

    @given(STEPS)
    @settings(derandomize=True, deadline=None, database=None)
    def test_every_choice_is_accepting_nearby_and_counted(
        self, steps: list[Step]
    ) -> None:
        history = History(self)
        for number, step in enumerate(steps):
            history.apply(step, number)
            history.check_ejections()
        for host, name in history.sent:
            ended = routing.AttemptEnded(host, name, Ending.CANCELLED)
            history.router.handle(ended, history.now)
        remaining = sum(history.router.in_flight(host) for host in HOSTS)
        self.assertEqual(0, remaining)


def _report(step: Step) -> LoadReport | None:
    if step.number % 3 == 0:
        return None
    return LoadReport(
        state=UpstreamState.READY,
        limit=4,
        running=step.number % 6,
        queued=step.number % 4,
        threshold=step.number % 10,
        prompt=step.number % 11,
    )
