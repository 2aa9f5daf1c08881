"""Check that an attempt runs at most once and that `ResolvedNever` is final."""

from dataclasses import dataclass, field

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import ledger as attempt_ledger

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('send', 'offer', 'start', 'finish', 'never', 'resolve', 'wait')
        ),
        st.integers(0, 11),
    ),
    max_size=120,
)
WAITS_S = (0.1, 1, 5, 11, 30, 65, 125)


@dataclass
class _History:
    """Record the guarantees and the actions for each attempt."""

    sent: list[str] = field(default_factory=list)
    accepted: list[str] = field(default_factory=list)
    started: set[str] = field(default_factory=set)
    resolved_never: set[str] = field(default_factory=set)


class LedgerPropertyTest(testtools.TestCase):
    """Guarantees hold for late, duplicated and resolved attempts."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given(steps=STEPS, max_epoch_attempts=st.sampled_from((1, 2, 3)))
    def test_never_runs_twice_and_resolved_never_is_final(
        self, steps: list[tuple[str, int]], max_epoch_attempts: int
    ) -> None:
        ledger = attempt_ledger.Ledger(7, max_epoch_attempts)
        history = _History()
        now = 0.0
        for action, number in steps:
            if action == 'wait':
                now += WAITS_S[number % len(WAITS_S)]
            elif action == 'send':
                # Some edges send a later epoch, known from an earlier process.
                epoch = ledger.epoch(now) + (number // 9) * 3
                history.sent.append(
                    attempt_ledger.make_attempt_id(
                        epoch, 'r', len(history.sent)
                    )
                )
            elif history.sent:
                attempt = history.sent[number % len(history.sent)]
                self._step(ledger, history, action, attempt, now)

    def _step(
        self,
        ledger: attempt_ledger.Ledger,
        history: _History,
        action: str,
        attempt: str,
        now: float,
    ) -> None:
        if action == 'offer':
            offered = ledger.offer(attempt, 7, now)
            if isinstance(offered, attempt_ledger.Accepted):
                self.assertNotIn(attempt, history.accepted)
                self.assertNotIn(attempt, history.resolved_never)
                history.accepted.append(attempt)
            if isinstance(offered, attempt_ledger.Revoked):
                self._resolve_never(history, attempt)
        elif action == 'start':
            if ledger.mark_started(attempt, now):
                self.assertNotIn(attempt, history.resolved_never)
                history.started.add(attempt)
        elif action == 'finish':
            ledger.mark_finished(attempt, answer_kept=True, now=now)
        elif action == 'never' and attempt not in history.started:
            ledger.mark_never_ran(attempt, now)
        elif action == 'resolve':
            answer = ledger.resolve(attempt, 7, now)
            if isinstance(answer, attempt_ledger.ResolvedNever):
                self._resolve_never(history, attempt)

    def _resolve_never(self, history: _History, attempt: str) -> None:
        self.assertNotIn(attempt, history.started)
        history.resolved_never.add(attempt)


class LedgerTest(testtools.TestCase):
    """Each attempt gets the right answer, also at epoch boundaries."""

    def test_follows_an_attempt(self) -> None:
        ledger = attempt_ledger.Ledger(7)
        attempt = attempt_ledger.make_attempt_id(ledger.epoch(0), 'r', 1)
        self.assertEqual(attempt_ledger.Accepted(), ledger.offer(attempt, 7, 0))
        self.assertEqual(
            attempt_ledger.Duplicate(), ledger.offer(attempt, 7, 0)
        )
        self.assertEqual(
            attempt_ledger.ResolvedQueued(), ledger.resolve(attempt, 7, 0)
        )
        self.assertTrue(ledger.mark_started(attempt, 0))
        self.assertEqual(
            attempt_ledger.ResolvedRunning(), ledger.resolve(attempt, 7, 0)
        )
        ledger.mark_finished(attempt, answer_kept=True, now=0)
        self.assertEqual(
            attempt_ledger.ResolvedFinished(answer_kept=True),
            ledger.resolve(attempt, 7, 0),
        )
        ledger.mark_answer_dropped(attempt)
        self.assertEqual(
            attempt_ledger.ResolvedFinished(answer_kept=False),
            ledger.resolve(attempt, 7, 0),
        )

    def test_late_attempt_is_refused_after_its_epoch(self) -> None:
        ledger = attempt_ledger.Ledger(7, max_epoch_attempts=1)
        late = attempt_ledger.make_attempt_id(ledger.epoch(0), 'late', 1)
        older = attempt_ledger.make_attempt_id(ledger.epoch(0), 'older', 1)
        for tick in range(1, 200):
            filler = attempt_ledger.make_attempt_id(
                ledger.epoch(tick), 'f', tick
            )
            ledger.offer(filler, 7, tick)
            if tick == attempt_ledger.ACCEPTED_EPOCHS + 1:
                self.assertEqual(
                    attempt_ledger.Revoked(), ledger.offer(late, 7, tick)
                )
        self.assertEqual(
            attempt_ledger.Duplicate(), ledger.offer(older, 7, 200)
        )
        self.assertEqual(
            attempt_ledger.ResolvedUnknown(), ledger.resolve(older, 7, 200)
        )

    def test_idle_gate_extends_its_epoch(self) -> None:
        ledger = attempt_ledger.Ledger(7)
        attempt = attempt_ledger.make_attempt_id(ledger.epoch(0), 'r', 1)
        self.assertEqual(
            attempt_ledger.Accepted(), ledger.offer(attempt, 7, 5000)
        )

    def test_other_incarnation_is_refused(self) -> None:
        ledger = attempt_ledger.Ledger(7)
        self.assertEqual(
            attempt_ledger.WrongIncarnation(), ledger.offer('0.r.1', 6, 0)
        )
        self.assertEqual(
            attempt_ledger.ResolvedUnknown(), ledger.resolve('0.r.1', 6, 0)
        )
        ledger.add_incarnation(9)
        self.assertEqual(attempt_ledger.Accepted(), ledger.offer('0.r.1', 9, 0))
        self.assertEqual(
            attempt_ledger.Duplicate(), ledger.offer('0.r.1', 7, 0)
        )

    def test_id_without_a_known_epoch_never_runs(self) -> None:
        ledger = attempt_ledger.Ledger(7)
        for attempt in ('r', '50.r.1', '-1.r.1', '.r', '٣.r.1'):
            self.assertEqual(
                attempt_ledger.Duplicate(), ledger.offer(attempt, 7, 0)
            )

    def test_epoch_of_an_earlier_process_is_refused_for_good(self) -> None:
        ledger = attempt_ledger.Ledger(7, max_epoch_attempts=1)
        self.assertEqual(attempt_ledger.Revoked(), ledger.offer('5.r.1', 7, 0))
        while ledger.epoch(0) < 8:
            filler = attempt_ledger.make_attempt_id(
                ledger.epoch(0), 'f', ledger.epoch(0)
            )
            ledger.offer(filler, 7, 0)
            self.assertEqual(
                attempt_ledger.Revoked(), ledger.offer('5.r.1', 7, 0)
            )

    def test_memory_is_bounded_under_load(self) -> None:
        ledger = attempt_ledger.Ledger(7, max_epoch_attempts=100)
        for number in range(5000):
            attempt = attempt_ledger.make_attempt_id(
                ledger.epoch(0), 'r', number
            )
            self.assertEqual(
                attempt_ledger.Accepted(), ledger.offer(attempt, 7, 0)
            )
            ledger.mark_started(attempt, 0)
            ledger.mark_finished(attempt, answer_kept=False, now=0)
        self.assertTrue(len(ledger) <= 100 * attempt_ledger.RETAINED_EPOCHS)

    def test_long_run_is_remembered(self) -> None:
        ledger = attempt_ledger.Ledger(7, max_epoch_attempts=1)
        attempt = attempt_ledger.make_attempt_id(ledger.epoch(0), 'r', 1)
        ledger.offer(attempt, 7, 0)
        ledger.mark_started(attempt, 0)
        for tick in range(400):
            filler = attempt_ledger.make_attempt_id(
                ledger.epoch(tick), 'f', tick
            )
            ledger.offer(filler, 7, tick)
        self.assertEqual(
            attempt_ledger.ResolvedRunning(), ledger.resolve(attempt, 7, 400)
        )
