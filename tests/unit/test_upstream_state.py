"""Tests of late, duplicated, foreign and outdated announcements."""

import testtools

from dragonflyknot.decisions.calls import UpstreamState
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
) -> Heartbeat:
    """Return a heartbeat."""
    return Heartbeat(instance, service, address, born, sequence, state, 10)


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
