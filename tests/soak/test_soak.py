"""A short soak, and two that must find a guard that was taken out."""

import asyncio

import testtools

from soak import mutants
from soak.main import Outcome, soak
from soak.promises import broken
from soak.record import Leaving, PlannedStop, Record, Run, Sent
from soak.schedule import (
    LinkHeld,
    LinkResets,
    LinkSlow,
    Stop,
    Timed,
    UpstreamLeaves,
    UpstreamResets,
    UpstreamSlow,
    schedule,
)

SEED = 17
LENGTH_S = 10.0
IN_FLIGHT = [
    Timed(at_s, fault)
    for host in ('h1', 'h2')
    for at_s, fault in (
        (1.0, UpstreamSlow(host, 2.0)),
        (2.0, UpstreamResets(host)),
    )
]
LEAVING = [Timed(1.0, UpstreamLeaves('h1'))]
LINKS = [
    Timed(1.0, LinkHeld('h0', 2.0, is_inward=True)),
    Timed(1.5, LinkHeld('h1', 2.0, is_inward=False)),
    Timed(2.0, LinkSlow('h2', 2.0)),
    Timed(2.5, LinkResets('h3')),
]
ROLL = [
    Timed(at_s, Stop(host))
    for first_s in (1.0, 6.0)
    for at_s, host in (
        (first_s, 'h0'),
        (first_s, 'h1'),
        (first_s + 0.5, 'h2'),
        (first_s + 0.5, 'h3'),
    )
]
SLOW_ROLL = [
    *ROLL,
    *(
        Timed(at_s, UpstreamSlow(host, 1.5))
        for at_s in (1.0, 6.0)
        for host in ('h0', 'h1', 'h2', 'h3')
    ),
]
HEADERS = {
    'tenant-id': 'w',
    'caller-service': 'mine',
    'request-deadline': '2900',
}


def _play(timed: list[Timed], *guards: str) -> Outcome:
    return asyncio.run(asyncio.wait_for(soak(SEED, timed, guards), 60))


class SoakTest(testtools.TestCase):
    """Real daemons keep the promises under faults that overlap."""

    def test_faults_of_a_seed(self) -> None:
        """Break nothing, and serve after the last fault."""
        outcome = _play(schedule(SEED, LENGTH_S))
        self.assertEqual((), outcome.broken)
        self.assertGreater(outcome.served, 0)

    def test_faults_between_hosts(self) -> None:
        """Break nothing where links are cut, slow and reset."""
        outcome = _play(LINKS)
        self.assertEqual((), outcome.broken)
        self.assertGreater(outcome.links, 0)
        self.assertGreater(outcome.served, 0)

    # A run under way was given up in a series of planned stops.
    def test_stops_in_quick_succession(self) -> None:
        """Break nothing where all hosts stop one after the other."""
        for timed in (ROLL, SLOW_ROLL):
            outcome = _play(timed)
            self.assertEqual((), outcome.broken)
            self.assertGreater(outcome.served, 0)

    def test_bookings_that_are_repeated(self) -> None:
        """Find bookings that run twice where the guard is out."""
        outcome = _play(IN_FLIGHT, mutants.AT_MOST_ONCE)
        self.assertTrue([one for one in outcome.broken if 'booking' in one])
        self.assertEqual((), _play(IN_FLIGHT).broken)

    def test_upstreams_that_leave_unheard(self) -> None:
        """Find work at an upstream that leaves where the guard is out."""
        outcome = _play(LEAVING, mutants.DRAIN)
        self.assertTrue([one for one in outcome.broken if 'farewell' in one])


class PromisesTest(testtools.TestCase):
    """Each check finds what it is for."""

    def test_each_fault_is_found(self) -> None:
        """Name the fault of each broken record."""
        for fault, record in (
            ('ran at', _record(sent=_sent('POST', 200), runs=2)),
            ('nobody sent it', _record(sent=None, runs=1)),
            ('answered 503 and ran', _record(_sent('POST', 503), runs=1)),
            ('not its own', _record(_sent('GET', 200, is_foreign=True))),
            ('a part of an answer', _record(_sent('GET', 200, is_whole=False))),
            ('brought the key', _record(_sent('GET', 200), {'key': 'k'})),
            ('ran for', _record(_sent('GET', 200), {'tenant-id': 'v'})),
            (
                'without its caller',
                _record(_sent('GET', 200), {'caller-service': 'x'}),
            ),
            (
                'was handed',
                _record(_sent('GET', 200), {'request-deadline': '9000'}),
            ),
            ('after a farewell', _left(_record(_sent('GET', 200)))),
            ('cut off', _stopped(_record(_sent('GET', 0)))),
            ('given up', _stopped(_record(_sent('GET', 502, sent_at=4.5)))),
        ):
            found = broken(record)
            self.assertTrue([one for one in found if fault in one], fault)

    def test_sound_record(self) -> None:
        """Find nothing where all is as promised."""
        self.assertEqual([], broken(_record(_sent('POST', 200))))


def _sent(
    method: str,
    status: int,
    *,
    sent_at: float = 1,
    is_whole: bool = True,
    is_foreign: bool = False,
) -> Sent:
    return Sent(
        'a',
        'h0',
        1,
        method,
        'k',
        sent_at,
        3000,
        5,
        status,
        is_whole,
        is_foreign,
    )


def _record(
    sent: Sent | None, headers: dict[str, str] | None = None, runs: int = 1
) -> Record:
    record = Record()
    if sent is not None:
        record.sent_by_id[sent.request_id] = sent
    for number in range(runs):
        run = Run('a', f'h{number}', 'i', 1.1, HEADERS | (headers or {}))
        record.runs.append(run)
    return record


def _left(record: Record) -> Record:
    record.leavings.append(Leaving('i', -5))
    return record


def _stopped(record: Record) -> Record:
    record.stops.append(PlannedStop('h0', 1, 4, 6))
    return record
