"""Check that the copy of the keys expires and that withdrawals stick."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import keyring as keys

BOUND_S = 2.0


def _issue(sequence: int, name: str = 'k') -> keys.KeyRecord:
    return keys.KeyRecord(name, 'w', withdrawn=False, sequence=sequence)


def _withdraw(sequence: int, name: str = 'k') -> keys.KeyRecord:
    return keys.KeyRecord(name, 'w', withdrawn=True, sequence=sequence)


class KeyringTest(testtools.TestCase):
    """A key is vouched for only while the copy is fresh."""

    def test_copy_expires_after_the_bound(self) -> None:
        ring = keys.Keyring(BOUND_S)
        self.assertEqual(keys.StaleKeys(), ring.check('k', 0))
        ring.install(keys.KeyChanges(0, 1, (_issue(1),)))
        self.assertTrue(ring.confirm_by_store(1, asked_at=10))
        self.assertEqual(keys.Vouched('w'), ring.check('k', 12))
        self.assertEqual(keys.UnknownKey(), ring.check('other', 12))
        self.assertEqual(keys.StaleKeys(), ring.check('k', 12.1))

    def test_missing_changes_do_not_refresh(self) -> None:
        ring = keys.Keyring(BOUND_S)
        self.assertFalse(ring.confirm_by_store(3, asked_at=10))
        self.assertFalse(
            ring.confirm_by_peer(keys.PeerFreshness(3, 0), asked_at=10)
        )
        self.assertFalse(ring.install(keys.KeyChanges(2, 3, ())))
        self.assertEqual(0, ring.sequence)
        self.assertEqual(keys.StaleKeys(), ring.check('k', 10))

    def test_withdrawal_is_final(self) -> None:
        ring = keys.Keyring(BOUND_S)
        ring.install(keys.KeyChanges(5, 6, (_withdraw(6),)))
        self.assertEqual(keys.WithdrawnKey(), ring.check('k', 0))
        ring.install(keys.KeyChanges(0, 7, (_issue(7),)))
        self.assertEqual(keys.WithdrawnKey(), ring.check('k', 0))

    def test_announced_withdrawal_acts_before_the_table(self) -> None:
        ring = keys.Keyring(BOUND_S)
        ring.install(keys.KeyChanges(0, 1, (_issue(1),)))
        ring.confirm_by_store(1, asked_at=0)
        ring.withdraw('k')
        self.assertEqual(keys.WithdrawnKey(), ring.check('k', 1))
        self.assertEqual({'k'}, ring.announced)
        ring.install(keys.KeyChanges(1, 2, (_withdraw(2),)))
        self.assertEqual(frozenset(), ring.announced)

    def test_agreed_outage_keeps_the_copy_fresh(self) -> None:
        ring = keys.Keyring(BOUND_S)
        ring.install(keys.KeyChanges(0, 1, (_issue(1),)))
        ring.confirm_by_store(1, asked_at=0)
        ring.confirm_by_outage(50)
        self.assertEqual(keys.Vouched('w'), ring.check('k', 52))
        self.assertEqual(keys.StaleKeys(), ring.check('k', 53))

    def test_changes_for_a_peer_are_complete(self) -> None:
        ring = keys.Keyring(BOUND_S)
        records = (_issue(1, 'a'), _issue(2, 'b'), _withdraw(3, 'a'))
        ring.install(keys.KeyChanges(0, 3, records))
        other = keys.Keyring(BOUND_S)
        other.install(keys.KeyChanges(0, 2, records[:2]))
        self.assertTrue(other.install(ring.changes_since(2)))
        self.assertEqual(3, other.sequence)
        self.assertEqual(keys.WithdrawnKey(), other.check('a', 0))


class KeyringPropertyTest(testtools.TestCase):
    """A withdrawn key dies within the bound, whatever the messages do."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(('store', 'ask', 'answer', 'withdraw')),
                st.integers(0, 2),
                st.integers(0, 2),
                st.floats(0, 1.5),
            ),
            max_size=80,
        )
    )
    def test_withdrawn_key_dies_within_the_bound(
        self, steps: list[tuple[str, int, int, float]]
    ) -> None:
        table = [_issue(1)]
        rings = [keys.Keyring(BOUND_S) for _ in range(3)]
        for ring in rings:
            ring.install(keys.KeyChanges(0, 1, tuple(table)))
            ring.confirm_by_store(1, asked_at=0)
        withdrawn_at = None
        questions: list[tuple[int, float, keys.PeerFreshness]] = []
        now = 0.0
        for action, first, second, delay_s in steps:
            now += delay_s
            if action == 'withdraw' and withdrawn_at is None:
                withdrawn_at = now
                table.append(_withdraw(2))
            elif action == 'store':
                rings[first].install(
                    keys.KeyChanges(0, len(table), tuple(table))
                )
                rings[first].confirm_by_store(len(table), now)
            elif action == 'ask':
                told = rings[second].freshness(now)
                questions.append((first, now, told))
            elif questions:
                asker, asked_at, told = questions[second % len(questions)]
                rings[asker].confirm_by_peer(told, asked_at)
            if withdrawn_at is not None and now > withdrawn_at + BOUND_S:
                for ring in rings:
                    self.assertNotIsInstance(ring.check('k', now), keys.Vouched)
