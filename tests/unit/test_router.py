"""Check ejection, suspicion, locality and refusals of the router."""

import random

from testtools import TestCase

from dragonflyknot.decisions import routing
from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.routing import Ending

NEAR, REGIONAL, FAR = 'near', 'regional', 'far'


def _router(*hosts: str) -> routing.Router:
    router = routing.Router('me', 'dc-1', 'north')
    for host in hosts:
        event = routing.TargetSeen(
            host,
            1,
            's',
            'dc-1' if host == NEAR else f'dc-of-{host}',
            'south' if host == FAR else 'north',
            UpstreamState.READY,
        )
        router.handle(event, 0)
    return router


def _choose(
    router: routing.Router,
    now: float = 0,
    large: bool = False,
    priority: int = 5,
) -> str | Refusal:
    rng = random.Random(1)
    excluded: frozenset[str] = frozenset()
    choice = router.choose('s', priority, excluded, large, now, rng, 'w')
    match choice:
        case routing.Target(host):
            return host
        case routing.NoTarget(refusal):
            return refusal


def _end_attempts(
    router: routing.Router,
    host: str,
    ending: Ending,
    count: int = 1,
    report: LoadReport | None = None,
) -> None:
    for number in range(count):
        name = f'{host}-{number}'
        sent = routing.AttemptSent(host, name, 100, 'w', 5)
        router.handle(sent, 0)
        router.handle(routing.AttemptEnded(host, name, ending, report), 0)


def _report(threshold: int, prompt: int) -> LoadReport:
    return LoadReport(UpstreamState.READY, 8, 8, 8, threshold, prompt)


class RouterTest(TestCase):
    """Each condition of a target changes where attempts go."""

    def test_a_failing_target_is_ejected_and_comes_back(self) -> None:
        router = _router(NEAR, REGIONAL)
        _end_attempts(router, NEAR, Ending.FAILED, count=5)
        self.assertEqual(REGIONAL, _choose(router))
        self.assertEqual(NEAR, _choose(router, now=20))

    def test_at_most_half_of_the_targets_are_ejected(self) -> None:
        router = _router(NEAR, REGIONAL, FAR)
        for host in (NEAR, REGIONAL, FAR):
            _end_attempts(router, host, Ending.FAILED, count=9)
        ejected = [
            target for target in router.targets() if target.ejected_until > 0
        ]
        self.assertEqual([NEAR], [target.host for target in ejected])

    def test_an_ejected_target_serves_only_when_the_others_left(self) -> None:
        router = _router(NEAR, REGIONAL)
        _end_attempts(router, NEAR, Ending.FAILED, count=5)
        _end_attempts(router, REGIONAL, Ending.DONE, report=_report(7, 8))
        self.assertEqual(Refusal.SHED, _choose(router))
        router.handle(routing.TargetGone(REGIONAL), 0)
        self.assertEqual(NEAR, _choose(router))

    def test_a_silent_target_is_used_only_if_there_is_no_other(self) -> None:
        router = _router(NEAR, REGIONAL)
        _end_attempts(router, NEAR, Ending.SILENT)
        self.assertEqual(REGIONAL, _choose(router))
        router.handle(routing.TargetGone(REGIONAL), 0)
        self.assertEqual(NEAR, _choose(router))

    def test_only_small_bodies_cross_the_link_to_save_a_wait(self) -> None:
        router = _router(NEAR, FAR)
        _end_attempts(router, NEAR, Ending.DONE, report=_report(0, 6))
        self.assertEqual(FAR, _choose(router, large=False))
        self.assertEqual(NEAR, _choose(router, large=True))

    def test_an_edge_refuses_what_every_gate_would_refuse(self) -> None:
        router = _router(NEAR, FAR)
        for host in (NEAR, FAR):
            _end_attempts(router, host, Ending.DONE, report=_report(7, 8))
        self.assertEqual(Refusal.SHED, _choose(router))
        self.assertEqual(NEAR, _choose(router, priority=7))

    def test_a_probe_finds_out_that_a_gate_has_room_again(self) -> None:
        router = _router(FAR)
        _end_attempts(router, FAR, Ending.DONE, report=_report(7, 8))
        choices = [_choose(router, now) for now in (0.05, 0.2, 0.21, 0.4)]
        self.assertEqual([Refusal.SHED, FAR, Refusal.SHED, FAR], choices)

    def test_an_old_report_of_a_near_gate_refuses_nothing(self) -> None:
        router = _router(NEAR)
        _end_attempts(router, NEAR, Ending.DONE, report=_report(7, 8))
        choices = [_choose(router, now) for now in (0.01, 0.03, 0.031)]
        self.assertEqual([Refusal.SHED, NEAR, NEAR], choices)

    def test_a_refused_workspace_tries_other_gates_first(self) -> None:
        router = _router(NEAR, FAR)
        _end_attempts(router, NEAR, Ending.REFUSED)
        self.assertEqual(FAR, _choose(router, now=0.1))
        self.assertEqual(NEAR, _choose(router, now=0.1, priority=6))
        self.assertEqual(NEAR, _choose(router, now=0.3))

    def test_bytes_to_the_other_region_are_counted(self) -> None:
        router = _router(NEAR, FAR)
        _end_attempts(router, NEAR, Ending.DONE)
        _end_attempts(router, FAR, Ending.DONE, count=2)
        duplicate = routing.AttemptEnded(FAR, f'{FAR}-1', Ending.DONE, None, 50)
        router.handle(duplicate, 0)
        self.assertEqual(200, router.link_bytes)

    def test_a_state_seen_in_an_answer_outlives_older_gossip(self) -> None:
        router = _router(NEAR)
        draining = LoadReport(UpstreamState.DRAINING, 8, 0, 0, 10, 10)
        _end_attempts(router, NEAR, Ending.DONE, report=draining)
        gossip = routing.TargetSeen(
            NEAR, 1, 's', 'dc-1', 'north', UpstreamState.READY
        )
        router.handle(gossip, 1)
        self.assertEqual(Refusal.DRAINING, _choose(router, now=1))
        router.handle(gossip, 5)
        self.assertEqual(NEAR, _choose(router, now=5))
