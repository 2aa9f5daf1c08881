"""Tests of limiting the slots that wait for a slow downstream service."""

from testtools import TestCase

from dragonflyknot.decisions.downstream import DownstreamCalls

SLOT_LIMIT = 100


def _calls(latency_s: float) -> DownstreamCalls:
    """Return calls to a service of 0.1 s latency, then of another one.

    60 more calls are in flight since second 10.
    """
    calls = DownstreamCalls()
    for number in range(200):
        calls.started('deep', f'{number}', 0)
        now = 0.1 if number < 100 else latency_s
        calls.ended('deep', f'{number}', is_served=True, now=now)
    for number in range(60):
        calls.started('deep', f'waiting-{number}', 10)
    return calls


class DownstreamCallsTest(TestCase):
    def test_slow_service_holds_fewer_slots_at_low_priority(self) -> None:
        calls = _calls(1)
        allowed = [
            calls.may_call('deep', priority, SLOT_LIMIT, 10)
            for priority in (1, 9)
        ]
        self.assertEqual([False, True], allowed)

    def test_service_at_its_baseline_may_hold_all_slots(self) -> None:
        calls = _calls(0.1)
        self.assertTrue(calls.may_call('deep', 1, SLOT_LIMIT, 10.1))

    def test_old_calls_in_flight_indicate_a_slow_service(self) -> None:
        calls = _calls(0.1)
        self.assertFalse(calls.may_call('deep', 1, SLOT_LIMIT, 10.5))

    def test_other_services_and_free_slots_are_not_limited(self) -> None:
        calls = _calls(1)
        self.assertTrue(calls.may_call('other', 1, SLOT_LIMIT, 10))
        for number in range(50):
            name = f'waiting-{number}'
            calls.ended('deep', name, is_served=False, now=11)
        self.assertTrue(calls.may_call('deep', 1, SLOT_LIMIT, 11))
