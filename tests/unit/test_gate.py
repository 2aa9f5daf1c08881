"""The gate: order of service, limits and refusals."""

from testtools import TestCase

from dragonflyknot.decisions import admission
from dragonflyknot.decisions.admission import Refuse, Start, Verdict
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.refusals import Refusal

SLOTS = 8


def _gate(slots: int = SLOTS, queue_limit: int = 4) -> admission.Gate:
    """Return a gate that is past its cold start."""
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
) -> tuple[admission.Command, ...]:
    event = admission.Arrived(name, workspace, priority, depth, deadline)
    return gate.handle(event, 0)


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
