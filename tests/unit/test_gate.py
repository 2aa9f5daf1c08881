"""Test the order, the limits and the refusals of the admission gate."""

from testtools import TestCase

from dragonflyknot.decisions import admission
from dragonflyknot.decisions.admission import Refuse, Start, Verdict
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.refusals import Refusal

SLOTS = 8


def _gate(slots: int = SLOTS, queue_limit: int = 4) -> admission.Gate:
    """Return a gate that has completed its slow start."""
    gate = admission.Gate(Service('s', queue_limit, queue_wait_ms=250))
    gate.handle(admission.Announced(slots, UpstreamState.DRAINING), 0)
    gate.handle(admission.Announced(slots, UpstreamState.READY), 0)
    return gate


def _arrive(
    gate: admission.Gate,
    name: str,
    priority: int = 5,
    workspace: str = 'w',
    depth: int = 0,
    deadline: float = 10,
    now: float = 0,
) -> tuple[admission.Command, ...]:
    event = admission.Arrived(name, workspace, priority, depth, deadline)
    return gate.handle(event, now)


class GateTest(TestCase):
    def test_starts_up_to_its_slots_and_queues_the_rest(self) -> None:
        gate = _gate()
        started = [_arrive(gate, str(number)) for number in range(SLOTS)]
        self.assertEqual([(Start(str(n)),) for n in range(SLOTS)], started)
        self.assertEqual((), _arrive(gate, 'late'))
        report = gate.report()
        self.assertEqual((SLOTS, 1), (report.running, report.queued))

    def test_a_more_important_arrival_evicts_the_least_important(self) -> None:
        gate = _gate(slots=1, queue_limit=2)
        for name, priority in (('run', 5), ('low', 1), ('mid', 5)):
            _arrive(gate, name, priority)
        refused = _arrive(gate, 'high', 9)
        self.assertEqual((Refuse('low', Refusal.SHED, 1),), refused)
        done = admission.Finished('run', 0.01, Verdict.SUCCEEDED)
        self.assertEqual((Start('high'),), gate.handle(done, 0.01))

    def test_a_draining_gate_refuses_and_empties_its_queue(self) -> None:
        gate = _gate(slots=1)
        _arrive(gate, 'run')
        _arrive(gate, 'wait')
        event = admission.Announced(1, UpstreamState.DRAINING)
        self.assertEqual(
            (Refuse('wait', Refusal.DRAINING, 1),), gate.handle(event, 0)
        )
        self.assertEqual(
            (Refuse('new', Refusal.DRAINING, 1),), _arrive(gate, 'new')
        )

    def test_the_workspace_with_most_requests_is_shed_first(self) -> None:
        gate = _gate(slots=1, queue_limit=2)
        for name in ('run', 'first', 'second'):
            _arrive(gate, name, workspace='flooding')
        refused = _arrive(gate, 'quiet', workspace='quiet')
        self.assertEqual((Refuse('second', Refusal.SHED, 1),), refused)

    def test_open_requests_are_shed_first_in_their_priority(
        self,
    ) -> None:
        gate = _gate(slots=1, queue_limit=2)
        for name in ('run', 'first', 'second'):
            _arrive(gate, name, workspace='w')
        refused = _arrive(gate, 'open', workspace='')
        self.assertEqual((Refuse('open', Refusal.SHED, 1),), refused)

    def test_a_dropped_waiter_takes_the_less_important_with_it(self) -> None:
        gate = _gate(slots=1)
        _arrive(gate, 'run')
        _arrive(gate, 'high', priority=5)
        _arrive(gate, 'low', priority=1, now=1.4)
        refused = gate.handle(admission.Ticked(), 1.5)
        names = [command.attempt_id for command in refused]
        self.assertEqual(['high', 'low'], names)

    def test_deeper_chains_and_earlier_deadlines_go_first(self) -> None:
        gate = _gate(slots=1)
        _arrive(gate, 'run')
        _arrive(gate, 'late', deadline=9)
        _arrive(gate, 'early', deadline=8)
        _arrive(gate, 'deep', depth=2, deadline=9)
        order: list[str] = ['run']
        for _ in range(3):
            done = admission.Finished(order[-1], 0.01, Verdict.SUCCEEDED)
            order.extend(one.attempt_id for one in gate.handle(done, 0.1))
        self.assertEqual(['run', 'deep', 'early', 'late'], order)

    def test_what_can_not_finish_in_its_time_is_refused_at_once(self) -> None:
        gate = _gate()
        for number in range(20):
            _arrive(gate, f'{number}')
            done = admission.Finished(f'{number}', 1, Verdict.SUCCEEDED)
            gate.handle(done, 0)
        refused = _arrive(gate, 'hasty', deadline=0.5)
        self.assertEqual((Refuse('hasty', Refusal.NO_TIME, 1),), refused)
        self.assertEqual((Start('later'),), _arrive(gate, 'later', now=9))

    def test_a_new_upstream_gets_its_slots_gradually(self) -> None:
        gate = admission.Gate(Service('s'))
        gate.handle(admission.Announced(80, UpstreamState.READY), 0)
        limits = [gate.report().limit]
        now = 0.0
        for number in range(4000):
            now += 0.001
            _arrive(gate, f'{number}', deadline=100, now=now)
            if number >= 20:
                name = f'{number - 20}'
                done = admission.Finished(name, 0.02, Verdict.SUCCEEDED)
                gate.handle(done, now)
            limits.append(gate.report().limit)
        self.assertEqual((10, sorted(limits)), (limits[0], limits))
        self.assertTrue(limits[-1] > limits[0])

    def test_refusals_of_the_upstream_lower_the_limit(self) -> None:
        gate = _gate(slots=80)
        for number in range(200):
            _arrive(gate, f'{number}')
            done = admission.Finished(f'{number}', 0.01, Verdict.REFUSED)
            gate.handle(done, number / 100)
        self.assertTrue(gate.report().limit < 80)

    def test_a_start_counts_against_its_workspace_before_it_ends(self) -> None:
        gate = _gate(slots=2)
        for name, workspace in (('1', 'a'), ('2', 'a'), ('3', 'a'), ('4', 'b')):
            _arrive(gate, name, workspace=workspace)
        done = admission.Finished('1', 0.01, Verdict.SUCCEEDED)
        self.assertEqual((Start('4'),), gate.handle(done, 0.01))
