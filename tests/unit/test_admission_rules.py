"""Invariants of the gate after every step of a random history."""

from dataclasses import dataclass, field
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dragonflyknot.decisions import admission
from dragonflyknot.decisions.admission import Refuse, Start, Verdict
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.refusals import Refusal


class Step(NamedTuple):
    kind: str
    number: int
    workspace: str
    priority: int
    seconds: float


STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(
            ('arrive', 'arrive', 'arrive', 'finish', 'cancel', 'tick')
        ),
        st.integers(0, 30),
        st.sampled_from(('', 'a', 'b')),
        st.integers(0, 9),
        st.floats(0, 0.4),
    ),
    max_size=80,
)
VERDICTS = tuple(Verdict)


@dataclass
class History:
    """Drive a gate and check its invariants after each event."""

    case: TestCase
    gate: admission.Gate = field(
        default_factory=lambda: admission.Gate(Service('s', 3, 20))
    )
    now: float = 0
    arrivals: dict[str, admission.Arrived] = field(default_factory=dict)
    waiting: set[str] = field(default_factory=set)
    running: list[str] = field(default_factory=list)

    def feed(self, event: admission.Event) -> None:
        commands = self.gate.handle(event, self.now)
        started = [
            self._start(command) for command in commands if _is_start(command)
        ]
        shed = [
            self._refuse(command)
            for command in commands
            if not _is_start(command)
        ]
        limit = self.gate.report().limit
        if started:
            self.case.assertTrue(len(self.running) <= limit)
        for attempt_id in started:
            self._check_highest_priority(attempt_id, self.waiting)
            self.case.assertTrue(self.arrivals[attempt_id].deadline >= self.now)
        for attempt_id in shed:
            remaining = {*self.waiting, *started}
            self._check_lowest_priority(attempt_id, remaining)
        self.case.assertEqual(len(self.waiting), self.gate.report().queued)

    def _start(self, command: admission.Command) -> str:
        self.waiting.remove(command.attempt_id)
        self.running.append(command.attempt_id)
        return command.attempt_id

    def _refuse(self, command: admission.Command) -> str:
        self.waiting.remove(command.attempt_id)
        kind = command.refusal if isinstance(command, Refuse) else None
        return command.attempt_id if kind is Refusal.SHED else ''

    def _check_highest_priority(self, started: str, others: set[str]) -> None:
        priority = self.arrivals[started].priority
        highest = max(
            (self.arrivals[waiter].priority for waiter in others), default=0
        )
        self.case.assertTrue(highest <= priority)

    def _check_lowest_priority(self, shed: str, others: set[str]) -> None:
        if not shed:
            return
        lowest = min(
            (self.arrivals[waiter].priority for waiter in others), default=9
        )
        self.case.assertTrue(self.arrivals[shed].priority <= lowest)

    def apply(self, step: Step, number: int) -> None:
        match step.kind:
            case 'arrive':
                self._arrive(step, f'{number}')
            case 'finish' if self.running:
                self.now += step.seconds / 10
                name = self.running.pop(step.number % len(self.running))
                verdict = VERDICTS[step.number % len(VERDICTS)]
                self.feed(admission.Finished(name, step.seconds, verdict))
            case 'cancel' if self.arrivals:
                name = [*self.arrivals][step.number % len(self.arrivals)]
                self.waiting.discard(name)
                self.running = [
                    attempt for attempt in self.running if attempt != name
                ]
                self.feed(admission.Cancelled(name))
            case _:
                self._advance(step.seconds)

    def _arrive(self, step: Step, name: str) -> None:
        event = admission.Arrived(
            name,
            step.workspace,
            step.priority,
            step.number % 3,
            self.now + step.seconds,
        )
        self.arrivals[name] = event
        self.waiting.add(name)
        self.feed(event)

    def _advance(self, seconds: float) -> None:
        end = self.now + seconds
        while (
            due_at := self.gate.next_deadline()
        ) is not None and due_at <= end:
            self.now = max(self.now, due_at)
            self.feed(admission.Ticked())
            self.case.assertNotEqual(due_at, self.gate.next_deadline())
        self.now = end


class AdmissionRulesTest(TestCase):
    """Starts follow the priority order and the concurrency limit."""

    @given(STEPS)
    @settings(derandomize=True, deadline=None, database=None)
    def test_every_step_keeps_the_order_and_the_limit(
        self, steps: list[Step]
    ) -> None:
        history = History(self)
        history.feed(admission.Announced(2, UpstreamState.READY))
        for number, step in enumerate(steps):
            history.apply(step, number)
        history.feed(admission.Announced(2, UpstreamState.DRAINING))
        self.assertEqual(set(), history.waiting)

    def test_a_flood_leaves_the_other_workspace_its_share(self) -> None:
        gate = admission.Gate(Service('s', 8, 10_000))
        gate.handle(admission.Announced(1, UpstreamState.DRAINING), 0)
        gate.handle(admission.Announced(1, UpstreamState.READY), 0)
        served: list[str] = []
        for number, workspace in enumerate('aaab' * 25):
            commands: list[admission.Command] = []
            for duplicate in range(5 if workspace == 'a' else 1):
                name = f'{workspace}{number}.{duplicate}'
                event = admission.Arrived(name, workspace, 5, 0, 1000)
                commands.extend(gate.handle(event, number))
            if served:
                finished = admission.Finished(served[-1], 1, Verdict.SUCCEEDED)
                commands.extend(gate.handle(finished, number))
            served.extend(
                command.attempt_id for command in commands if _is_start(command)
            )
        quiet = [name for name in served if name.startswith('b')]
        self.assertTrue(len(quiet) >= 24)


def _is_start(command: admission.Command) -> bool:
    return isinstance(command, Start)
