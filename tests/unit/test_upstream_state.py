"""Tests of late, duplicated, foreign and outdated announcements."""

import testtools

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.upstreamdepartures import Departure
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage
from dragonflyknot.decisions.upstreamstate import Upstream, UpstreamRegister

READY = UpstreamState.READY
DRAINING = UpstreamState.DRAINING
GONE = UpstreamState.GONE


def beat(
    sequence: int,
    state: UpstreamState = READY,
    instance: str = 'i-1',
    born: int = 100,
    service: str = 'mine',
    address: str = '10.0.0.1:80',
    received_at: float = 0,
) -> Heartbeat:
    """Return a heartbeat."""
    return Heartbeat(
        instance, service, address, born, sequence, state, 10, received_at
    )


class UpstreamRegisterTest(testtools.TestCase):
    """The newest announcement of the newest start applies."""

    def setUp(self) -> None:
        """Register one ready upstream."""
        super().setUp()
        self.register = UpstreamRegister('mine', '10.0.0.1:80')
        self.register.apply_heartbeat(beat(5))

    def state(self) -> tuple[str, UpstreamState]:
        """Return the current instance and state."""
        assert self.register.current is not None
        return self.register.current.instance, self.register.current.state

    def test_ignored_heartbeats(self) -> None:
        """Ignore late, earlier and foreign announcements."""
        for name, heartbeat in (
            ('late', beat(4, DRAINING)),
            ('duplicated', beat(5, DRAINING)),
            ('earlier start', beat(9, DRAINING, 'i-0', 99)),
            ('unknown start', beat(9, DRAINING, 'i-9', 0)),
            ('other service', beat(9, DRAINING, service='other')),
            ('other address', beat(9, DRAINING, address='10.0.0.2:80')),
        ):
            self.assertFalse(self.register.apply_heartbeat(heartbeat), name)
            self.assertEqual(('i-1', READY), self.state(), name)

    def test_applied_heartbeats(self) -> None:
        """Apply a drain, and a new start whose sequence restarts."""
        self.assertTrue(self.register.apply_heartbeat(beat(6, DRAINING)))
        self.assertEqual(('i-1', DRAINING), self.state())
        restarted = beat(1, READY, 'i-1', 200)
        self.assertTrue(self.register.apply_heartbeat(restarted))
        self.assertEqual(('i-1', READY), self.state())

    # Guards against an upstream that its next process refuses for good, as a
    # drain that it had taken back before arrived late.
    def test_late_drain(self) -> None:
        """Record no departure of a start that has said more since."""
        for sequence in (4, 5):
            self.register.apply_heartbeat(beat(sequence, DRAINING))
        self.assertEqual((), self.register.departures)

    # Guards against a draining upstream that a later heartbeat makes ready.
    def test_ready_after_a_drain(self) -> None:
        """Keep a drain for good, as it was acknowledged."""
        self.register.apply_heartbeat(beat(6, DRAINING))
        self.assertFalse(self.register.apply_heartbeat(beat(7)))
        self.assertEqual(('i-1', DRAINING), self.state())

    def test_leave_is_final_for_its_start(self) -> None:
        """Ignore delayed heartbeats after the upstream has left."""
        self.assertTrue(self.register.apply_leave(LeaveMessage('i-1', 100)))
        self.register.apply_heartbeat(beat(9))
        self.assertEqual(('i-1', GONE), self.state())
        self.register.apply_heartbeat(beat(1, born=300, instance='i-2'))
        self.assertEqual(('i-2', READY), self.state())

    def test_leave_of_another_instance(self) -> None:
        """Ignore a leave message of another instance or earlier start."""
        for leaving in (LeaveMessage('i-0', 100), LeaveMessage('i-1', 99)):
            self.assertFalse(self.register.apply_leave(leaving))
        self.assertEqual(('i-1', READY), self.state())

    def test_leave_before_any_heartbeat(self) -> None:
        """Ignore late heartbeats and stored entries of a departed upstream."""
        fresh = UpstreamRegister('mine', '10.0.0.1:80')
        fresh.apply_leave(LeaveMessage('i-1', 100))
        self.assertFalse(fresh.apply_heartbeat(beat(9)))
        self.assertFalse(fresh.restore(Upstream('i-1', 100, READY, 10)))
        self.assertEqual(Upstream('i-1', 100, GONE, 0), fresh.current)
        self.assertTrue(fresh.apply_heartbeat(beat(1, born=101)))

    # Guards against an upstream that is used after it left, as its first
    # heartbeat is late and was sent after a restart under the same id.
    def test_leave_of_a_later_start(self) -> None:
        """Ignore late heartbeats of a start that was only heard to leave."""
        for instance in ('i-1', 'i-2'):
            self.register.apply_leave(LeaveMessage(instance, 200))
            late = beat(1, instance=instance, born=200)
            self.assertFalse(self.register.apply_heartbeat(late))
            self.assertIs(GONE, self.state()[1])

    def test_restore_yields_to_announcements(self) -> None:
        """Use a stored state only before the first announcement."""
        stored = Upstream('i-0', 50, READY, 10)
        self.assertFalse(self.register.restore(stored))
        fresh = UpstreamRegister('mine', '10.0.0.1:80')
        self.assertTrue(fresh.restore(stored))
        self.assertTrue(fresh.apply_heartbeat(beat(1)))


class EarlierProcessTest(testtools.TestCase):
    """What an earlier process knew goes before late announcements."""

    def setUp(self) -> None:
        """Start a process that has received no announcement."""
        super().setUp()
        self.register = UpstreamRegister('mine', '10.0.0.1:80')

    # Guards against an upstream that is used after it left, as a late
    # heartbeat meets a new process.
    def test_late_heartbeat_after_a_leave(self) -> None:
        """Keep the upstream out whose leaving was acknowledged."""
        self.register.record_earlier(Upstream('i-1', 100, GONE, 10))
        self.assertFalse(self.register.apply_heartbeat(beat(9)))
        self.assertEqual(Upstream('i-1', 100, GONE, 10), self.register.current)

    # Guards against a draining upstream that is taken as ready again.
    def test_late_heartbeat_after_a_drain(self) -> None:
        """Ignore what was sent before the drain was announced."""
        draining = Upstream('i-1', 100, DRAINING, 10, sequence=7)
        self.register.record_earlier(draining)
        self.assertFalse(self.register.apply_heartbeat(beat(6)))
        self.assertEqual(draining, self.register.current)

    def test_ready_upstream_is_used_after_its_next_heartbeat(self) -> None:
        """Use neither an earlier start nor one that is only stored."""
        self.register.record_earlier(Upstream('i-1', 100, READY, 10, 7))
        self.assertFalse(self.register.apply_heartbeat(beat(9, born=99)))
        self.assertIsNone(self.register.current)
        self.assertTrue(self.register.apply_heartbeat(beat(8)))
        self.assertEqual(
            Upstream('i-1', 100, READY, 10, 8), self.register.current
        )

    def test_new_start_after_a_leave(self) -> None:
        """Use an upstream that started after the one that left."""
        self.register.record_earlier(Upstream('i-1', 100, GONE, 10))
        self.assertTrue(self.register.apply_heartbeat(beat(1, born=101)))


class UnknownStartTest(testtools.TestCase):
    """A leave message that names no start is final for the one that leaves.

    The message arrives at 500; the start that leaves began at 300.
    """

    def setUp(self) -> None:
        """Start without announcements."""
        super().setUp()
        self.register = UpstreamRegister('mine', '10.0.0.1:80')
        self.leaving = LeaveMessage('i-1', received_ms=500)

    def is_used(self) -> bool:
        """Tell whether an upstream is in force and ready."""
        current = self.register.current
        return current is not None and current.is_ready

    # Guards against an upstream that is used after it left: its first
    # heartbeat is late, and the leave message did not name its start.
    def test_late_heartbeat_of_an_unknown_upstream(self) -> None:
        """Don't use the start that left."""
        self.register.apply_leave(self.leaving)
        self.register.apply_heartbeat(beat(1, born=300))
        self.assertFalse(self.is_used())

    # Guards against the same where another upstream was known before.
    def test_late_heartbeat_beside_another_known_upstream(self) -> None:
        """Keep out an instance that left before it was heard of."""
        self.register.apply_heartbeat(beat(7, instance='i-0', born=100))
        self.register.apply_leave(self.leaving)
        self.register.apply_heartbeat(beat(1, born=300))
        current = self.register.current
        assert current is not None
        self.assertEqual('i-0', current.instance)

    # Guards against the same where an earlier start of the id was known: the
    # message is about the later one.
    def test_late_heartbeat_of_a_later_start(self) -> None:
        """Keep out both starts."""
        self.register.apply_heartbeat(beat(7, born=100))
        self.register.apply_leave(self.leaving)
        self.register.apply_heartbeat(beat(1, born=300))
        self.register.apply_heartbeat(beat(8, born=100))
        self.assertFalse(self.is_used())

    # Guards against the same in the next process, which has read of it.
    def test_late_heartbeat_at_the_next_process(self) -> None:
        """Don't use the start that left."""
        self.register.apply_leave(self.leaving)
        earlier = self.register.current
        assert earlier is not None
        following = UpstreamRegister('mine', '10.0.0.1:80')
        following.learn(self.register.departures)
        following.record_earlier(earlier)
        self.register = following
        following.apply_heartbeat(beat(1, born=300))
        self.assertFalse(self.is_used())

    # Guards against a clock that was behind when the message arrived, so that
    # the start that left seems to have begun after it.
    def test_late_heartbeat_after_a_clock_went_back(self) -> None:
        """Don't use a start for its time alone."""
        self.register.apply_leave(LeaveMessage('i-1', received_ms=200))
        self.register.apply_heartbeat(beat(1, born=300))
        self.assertFalse(self.is_used())

    # Guards against several late heartbeats, taken for those of a new start.
    def test_several_late_heartbeats(self) -> None:
        """Don't use a start for its repetition alone."""
        self.register.apply_leave(self.leaving)
        for sequence in (1, 2, 3):
            late = beat(sequence, born=300, received_at=sequence * 1.5)
            self.register.apply_heartbeat(late)
            self.register.apply_health_check(late, None)
        self.assertFalse(self.is_used())

    # Guards against a health check that answers falsely.
    def test_late_heartbeat_beside_a_false_health_check(self) -> None:
        """Don't use a start for its health check alone."""
        self.register.apply_leave(self.leaving)
        late = beat(1, born=300)
        self.register.apply_heartbeat(late)
        self.assertFalse(self.register.apply_health_check(late, 'i-1'))
        self.assertFalse(self.is_used())

    # Guards against a repeated message that changes what has to be stored
    # each time: it could then never be acknowledged while the store is slow.
    def test_repeated_leave_message(self) -> None:
        """Keep what the first message told."""
        self.register.apply_leave(self.leaving)
        before = self.register.departures
        self.register.apply_leave(LeaveMessage('i-1', received_ms=900))
        self.assertEqual(before, self.register.departures)

    # Guards against a start in question that leaves, and is used after all.
    def test_start_in_question_that_leaves(self) -> None:
        """Take the start as the one that the message is about."""
        self.register.apply_leave(self.leaving)
        questioned = beat(1, born=600)
        self.register.apply_heartbeat(questioned)
        self.register.apply_leave(LeaveMessage('i-1', received_ms=900))
        self.register.apply_health_check(questioned, 'i-1')
        self.register.apply_heartbeat(beat(2, born=600, received_at=9))
        self.assertFalse(self.is_used())

    def test_drain_of_a_start_in_question(self) -> None:
        """Take a drain as it is."""
        self.register.apply_leave(self.leaving)
        self.assertTrue(
            self.register.apply_heartbeat(beat(2, DRAINING, born=600))
        )
        self.register.apply_heartbeat(beat(3, born=600, received_at=9))
        self.assertFalse(self.is_used())


class NewStartTest(testtools.TestCase):
    """A start that is new under an id that has left is used."""

    def setUp(self) -> None:
        """Let an instance leave at 500, by a message without its start."""
        super().setUp()
        self.register = UpstreamRegister('mine', '10.0.0.1:80')
        self.register.apply_leave(LeaveMessage('i-1', received_ms=500))

    def is_used(self, born: int) -> bool:
        """Tell whether a start is in force and ready."""
        current = self.register.current
        return current is not None and current.is_ready and current.born == born

    # Guards against a new start that is shut out for its id.
    def test_start_that_began_later_and_is_healthy(self) -> None:
        """Use it at its first heartbeat."""
        first = beat(1, born=600)
        self.register.apply_heartbeat(first)
        self.assertTrue(self.register.apply_health_check(first, 'i-1'))
        self.assertTrue(self.is_used(600))

    # Guards against a new start that is shut out for a false health check.
    def test_start_that_began_later_and_repeats_itself(self) -> None:
        """Use it at its second heartbeat."""
        self.register.apply_heartbeat(beat(1, born=600))
        self.register.apply_health_check(beat(1, born=600), None)
        self.register.apply_heartbeat(beat(2, born=600, received_at=1.5))
        self.assertTrue(self.is_used(600))

    # Guards against a new start that is shut out since a clock was ahead as
    # the leave message arrived.
    def test_start_before_the_time_of_the_message(self) -> None:
        """Use it after a second heartbeat and a health check."""
        second = beat(2, born=400, received_at=1.5)
        self.register.apply_heartbeat(beat(1, born=400))
        self.register.apply_heartbeat(second)
        self.assertFalse(self.is_used(400))
        self.register.apply_health_check(second, 'i-1')
        self.assertTrue(self.is_used(400))

    # Guards against a start that is questioned again after it was confirmed.
    def test_confirmed_start(self) -> None:
        """Apply its later heartbeats at once, also a change of its slots."""
        first = beat(1, born=600)
        self.register.apply_heartbeat(first)
        self.register.apply_health_check(first, 'i-1')
        more = Heartbeat('i-1', 'mine', '10.0.0.1:80', 600, 2, READY, 20)
        self.assertTrue(self.register.apply_heartbeat(more))

    def test_start_whose_predecessor_named_itself(self) -> None:
        """Use it at once where the leave message named its start."""
        register = UpstreamRegister('mine', '10.0.0.1:80')
        register.apply_leave(LeaveMessage('i-1', 100, received_ms=500))
        self.assertTrue(register.apply_heartbeat(beat(1, born=101)))

    def test_another_instance(self) -> None:
        """Use another instance at once, whenever it began."""
        other = beat(1, instance='i-2', born=200)
        self.assertTrue(self.register.apply_heartbeat(other))


class LearntDepartureTest(testtools.TestCase):
    """A departure holds whenever the process learns of it."""

    def setUp(self) -> None:
        """Let a late heartbeat make an upstream ready."""
        super().setUp()
        self.register = _late_heartbeat_applied()

    def state(self) -> UpstreamState:
        """Return the state in force."""
        assert self.register.current is not None
        return self.register.current.state

    # Guards against a row that is read late and whose leaving is passed over.
    def test_departures_of_the_start_in_force(self) -> None:
        """Take the upstream out of use, whether its start is named or not."""
        for departure in (
            Departure('i-1', born=300),
            Departure('i-1', heard_ms=500),
            Departure('i-1', heard_ms=200),
        ):
            self.register = _late_heartbeat_applied()
            self.assertTrue(self.register.learn((departure,)))
            self.register.apply_heartbeat(beat(6, born=300))
            self.assertIs(GONE, self.state(), str(departure))

    def test_departures_of_others(self) -> None:
        """Keep an upstream that the departures do not concern."""
        departures = (Departure('i-0', 900, 900), Departure('i-1', born=299))
        self.assertFalse(self.register.learn(departures))
        self.assertIs(READY, self.state())

    # Guards against an old departure that takes out a start that was found
    # to be a new one.
    def test_known_departure(self) -> None:
        """Keep a confirmed start when peers tell what was known."""
        departures = (Departure('i-1', heard_ms=200),)
        self.register.learn(departures)
        again = beat(6, born=400, received_at=1)
        self.register.apply_heartbeat(again)
        self.register.apply_health_check(again, 'i-1')
        self.assertIs(READY, self.state())
        self.assertFalse(self.register.learn(departures))
        self.assertIs(READY, self.state())


def _late_heartbeat_applied() -> UpstreamRegister:
    register = UpstreamRegister('mine', '10.0.0.1:80')
    register.apply_heartbeat(beat(5, born=300))
    return register
