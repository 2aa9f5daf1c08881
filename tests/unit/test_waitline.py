"""Tests of the queue in front of one upstream under load.

Each load test states the load that it simulates, in virtual time.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass

import testtools

from dragonflyknot.decisions.siteconfig import LOWEST_CALL_PRIORITY
from dragonflyknot.decisions.slotqueue import SlotDecision, SlotQueue, Waiter


@dataclass(frozen=True)
class Stream:
    """Describe a continuous stream of requests."""

    name: str
    requests_per_s: float
    service_time_s: float
    priority: int
    max_wait_s: float
    workspace: str = 'w'


@dataclass
class Result:
    """Hold the results of a simulation, by stream."""

    served: Counter[str]
    refused: Counter[str]
    max_wait_before_start_s: dict[str, float]
    max_wait_before_refusal_s: dict[str, float]

    def served_ratio(self, name: str) -> float:
        """Return the ratio of a stream's requests that was served."""
        total = self.served[name] + self.refused[name]
        return self.served[name] / total


def simulate(
    slots: int, streams: tuple[Stream, ...], duration_s: float
) -> Result:
    """Run streams through a queue in virtual time."""
    rng = random.Random(7)
    queue = SlotQueue()
    queue.slots = slots
    events: list[tuple[float, float, str, object]] = []
    count = 0
    for stream in streams:
        at = rng.expovariate(stream.requests_per_s)
        while at < duration_s:
            count += 1
            heapq.heappush(events, (at, count, 'arrive', stream))
            at += rng.expovariate(stream.requests_per_s)
    result = Result(Counter(), Counter(), {}, {})
    arrived: dict[int, tuple[float, Stream]] = {}

    def begin(waiter: Waiter, now: float) -> None:
        nonlocal count
        count += 1
        since, stream = arrived[waiter.attempt]
        wait_s = result.max_wait_before_start_s.get(stream.name, 0.0)
        result.max_wait_before_start_s[stream.name] = max(wait_s, now - since)
        service_time_s = stream.service_time_s * rng.uniform(0.5, 1.5)
        heapq.heappush(events, (now + service_time_s, count, 'finish', waiter))

    def refuse(waiter: Waiter, now: float) -> None:
        since, stream = arrived[waiter.attempt]
        wait_s = result.max_wait_before_refusal_s.get(stream.name, 0.0)
        result.max_wait_before_refusal_s[stream.name] = max(wait_s, now - since)
        result.refused[stream.name] += 1

    while events:
        now, _order, kind, item = heapq.heappop(events)
        if kind == 'arrive':
            assert isinstance(item, Stream)
            count += 1
            waiter = Waiter(
                count,
                item.workspace,
                item.priority,
                now + item.max_wait_s,
                item.name,
            )
            arrived[count] = (now, item)
            decision = queue.arrive(waiter, now)
            if decision is SlotDecision.START:
                begin(waiter, now)
            elif decision is SlotDecision.REFUSE:
                refuse(waiter, now)
            else:
                expiry = (waiter.start_by, count + 0.5, 'expire', waiter)
                heapq.heappush(events, expiry)
        elif kind == 'expire':
            assert isinstance(item, Waiter)
            if not item.is_over:
                queue.cancel(item)
                refuse(item, now)
        else:
            assert isinstance(item, Waiter)
            queue.finish(item, now, is_sample=True)
            result.served[arrived[item.attempt][1].name] += 1
        while (next_decision := queue.next(now)) is not None:
            waiter, decision = next_decision
            if decision is SlotDecision.START:
                begin(waiter, now)
            else:
                refuse(waiter, now)
    return result


class SlotQueueTest(testtools.TestCase):
    """The order of service and of refusal."""

    def test_no_slots_refuse(self) -> None:
        """Refuse all attempts before the upstream has announced slots."""
        queue = SlotQueue()
        self.assertIs(
            SlotDecision.REFUSE, queue.arrive(Waiter(1, 'w', 1, 9), 0)
        )

    def test_highest_priority_starts_first(self) -> None:
        """Start the waiter of the highest priority first."""
        queue = SlotQueue()
        queue.slots = 1
        running = Waiter(1, 'w', 1, 9)
        queue.arrive(running, 0)
        for attempt, priority in ((2, 3), (3, LOWEST_CALL_PRIORITY), (4, 5)):
            queue.arrive(Waiter(attempt, 'w', priority, 9), 0)
        queue.finish(running, 0.1, is_sample=True)
        order = []
        while (next_decision := queue.next(0.1)) is not None:
            order.append(next_decision[0].attempt)
            queue.finish(next_decision[0], 0.1, is_sample=False)
        self.assertEqual([3, 4, 2], order)

    def test_cancelled_waiter_never_starts(self) -> None:
        """Skip a waiter whose caller has disconnected."""
        queue = SlotQueue()
        queue.slots = 1
        running = Waiter(1, 'w', 1, 9)
        queue.arrive(running, 0)
        waiter = Waiter(2, 'w', 1, 9)
        queue.arrive(waiter, 0)
        queue.cancel(waiter)
        queue.cancel(waiter)
        queue.finish(running, 0.1, is_sample=True)
        self.assertIsNone(queue.next(0.1))
        self.assertEqual((0, 0), (queue.running, queue.waiting))


class LeafServiceTest(testtools.TestCase):
    """The last service of all chains is short of slots.

    A failed call wastes the work of its whole chain, while a long read of the
    same service does not. Together they need 125% of the slots.
    """

    def setUp(self) -> None:
        """Simulate calls and long reads for a minute."""
        super().setUp()
        calls = Stream('call', 500, 0.03, LOWEST_CALL_PRIORITY, 0.5)
        reads = Stream('read', 41, 0.48, 6, 1.0)
        self.result = simulate(28, (calls, reads), 60)

    def test_calls_are_served(self) -> None:
        """Serve more than 99.5% of the calls."""
        self.assertGreater(self.result.served_ratio('call'), 0.995)

    def test_reads_use_the_remaining_slots(self) -> None:
        """Use the slots that the calls leave for complete reads."""
        capacity = (28 - 500 * 0.03) / (41 * 0.48)
        self.assertGreater(self.result.served_ratio('read'), 0.85 * capacity)

    def test_reads_are_refused_in_time(self) -> None:
        """Refuse no later than the latest useful start."""
        self.assertLessEqual(
            self.result.max_wait_before_refusal_s['read'], 1.01
        )


class StarvationTest(testtools.TestCase):
    """Calls alone need more slots than there are.

    By priority alone, requests of callers would get none of them.
    """

    def test_callers_keep_reserved_slots(self) -> None:
        """Use over a tenth of the slots for callers, the rest for calls."""
        calls = Stream('call', 1500, 0.03, LOWEST_CALL_PRIORITY, 0.3)
        reads = Stream('read', 41, 0.48, 6, 1.0)
        result = simulate(28, (calls, reads), 60)
        used_by_reads = result.served['read'] * 0.48 / 60 / 28
        used_by_calls = result.served['call'] * 0.03 / 60 / 28
        self.assertGreater(used_by_reads, 0.1)
        self.assertLess(used_by_reads, 0.2)
        self.assertGreater(used_by_calls, 0.75)


class FloodTest(testtools.TestCase):
    """One workspace floods the upstream, the others send as usual."""

    def test_small_workspaces_are_served(self) -> None:
        """Serve over 90% of the small workspaces at twice the capacity."""
        flood = Stream('flood', 150, 0.1, 4, 0.5, 'big')
        small = tuple(
            Stream(f'small-{number}', 8, 0.1, 4, 0.5, f'w{number}')
            for number in range(5)
        )
        result = simulate(10, (flood, *small), 40)
        for stream in small:
            self.assertGreater(result.served_ratio(stream.name), 0.9)

    def test_excess_is_refused_on_arrival(self) -> None:
        """Refuse most of a flood without queueing it."""
        flood = Stream('flood', 400, 0.1, 4, 0.2)
        result = simulate(10, (flood,), 20)
        self.assertGreater(result.refused['flood'], 4000)
        self.assertGreater(result.served['flood'], 0.9 * 20 * 100)


class RecoveryTest(testtools.TestCase):
    """The demand exceeds the capacity for a while and then ends."""

    def test_backlog_ends_with_the_surge(self) -> None:
        """Start new attempts as soon as the surge is over."""
        queue = SlotQueue()
        queue.slots = 4
        running = [Waiter(number, 'w', 4, 9) for number in range(4)]
        for waiter in running:
            queue.arrive(waiter, 0)
        for number in range(100):
            queue.arrive(Waiter(10 + number, 'w', 4, 0.3), 0)
        for waiter in running:
            queue.finish(waiter, 0.4, is_sample=True)
        while (next_decision := queue.next(0.4)) is not None:
            self.assertIs(SlotDecision.REFUSE, next_decision[1])
        fresh = Waiter(500, 'w', 4, 1)
        self.assertIs(SlotDecision.START, queue.arrive(fresh, 0.4))
