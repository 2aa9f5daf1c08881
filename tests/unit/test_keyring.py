"""Check that the key replica expires and that withdrawals are final."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions import keyring as keys

BOUND_S = 2.0


def _issued(sequence: int, name: str = 'k') -> keys.KeyRecord:
    return keys.KeyRecord(name, 'w', withdrawn=False, sequence=sequence)


def _withdrawal(sequence: int, name: str = 'k') -> keys.KeyRecord:
    return keys.KeyRecord(name, 'w', withdrawn=True, sequence=sequence)


class KeyringTest(testtools.TestCase):
    """A key is accepted only while the replica is fresh."""

    def test_replica_expires_after_the_bound(self) -> None:
        keyring = keys.Keyring(BOUND_S)
        self.assertEqual(keys.StaleKeys(), keyring.check('k', 0))
        keyring.install(keys.KeyChanges(0, 1, (_issued(1),)))
        self.assertTrue(keyring.confirm_by_store(1, asked_at=10))
        self.assertEqual(keys.ValidKey('w'), keyring.check('k', 12))
        self.assertEqual(keys.UnknownKey(), keyring.check('other', 12))
        self.assertEqual(keys.StaleKeys(), keyring.check('k', 12.1))

    def test_missing_changes_do_not_refresh(self) -> None:
        keyring = keys.Keyring(BOUND_S)
        self.assertFalse(keyring.confirm_by_store(3, asked_at=10))
        self.assertFalse(
            keyring.confirm_by_peer(keys.PeerFreshness(3, 0), asked_at=10)
        )
        self.assertFalse(keyring.install(keys.KeyChanges(2, 3, ())))
        self.assertEqual(0, keyring.sequence)
        self.assertEqual(keys.StaleKeys(), keyring.check('k', 10))

    def test_withdrawal_is_final(self) -> None:
        keyring = keys.Keyring(BOUND_S)
        keyring.install(keys.KeyChanges(5, 6, (_withdrawal(6),)))
        self.assertEqual(keys.WithdrawnKey(), keyring.check('k', 0))
        keyring.install(keys.KeyChanges(0, 7, (_issued(7),)))
        self.assertEqual(keys.WithdrawnKey(), keyring.check('k', 0))

    def test_announced_withdrawal_acts_before_the_table(self) -> None:
        keyring = keys.Keyring(BOUND_S)
        keyring.install(keys.KeyChanges(0, 1, (_issued(1),)))
        keyring.confirm_by_store(1, asked_at=0)
        keyring.withdraw('k')
        self.assertEqual(keys.WithdrawnKey(), keyring.check('k', 1))
        self.assertEqual({'k'}, keyring.announced)
        keyring.install(keys.KeyChanges(1, 2, (_withdrawal(2),)))
        self.assertEqual(frozenset(), keyring.announced)

    def test_confirmed_outage_keeps_the_replica_fresh(self) -> None:
        keyring = keys.Keyring(BOUND_S)
        keyring.install(keys.KeyChanges(0, 1, (_issued(1),)))
        keyring.confirm_by_store(1, asked_at=0)
        keyring.confirm_by_outage(50)
        self.assertEqual(keys.ValidKey('w'), keyring.check('k', 52))
        self.assertEqual(keys.StaleKeys(), keyring.check('k', 53))

    def test_changes_for_a_peer_are_complete(self) -> None:
        keyring = keys.Keyring(BOUND_S)
        records = (_issued(1, 'a'), _issued(2, 'b'), _withdrawal(3, 'a'))
        keyring.install(keys.KeyChanges(0, 3, records))
        peer = keys.Keyring(BOUND_S)
        peer.install(keys.KeyChanges(0, 2, records[:2]))
        self.assertTrue(peer.install(keyring.changes_since(2)))
        self.assertEqual(3, peer.sequence)
        self.assertEqual(keys.WithdrawnKey(), peer.check('a', 0))


class KeyringPropertyTest(testtools.TestCase):
    """A withdrawn key is refused within the bound, in any message order.

    Messages may be delayed, and may be delivered more than once.
    """

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
    def test_withdrawn_key_is_refused_within_the_bound(
        self, steps: list[tuple[str, int, int, float]]
    ) -> None:
        table = [_issued(1)]
        keyrings = [keys.Keyring(BOUND_S) for _ in range(3)]
        for keyring in keyrings:
            keyring.install(keys.KeyChanges(0, 1, tuple(table)))
            keyring.confirm_by_store(1, asked_at=0)
        withdrawn_at = None
        requests: list[tuple[int, float, keys.PeerFreshness]] = []
        now = 0.0
        for action, first, second, delay_s in steps:
            now += delay_s
            if action == 'withdraw' and withdrawn_at is None:
                withdrawn_at = now
                table.append(_withdrawal(2))
            elif action == 'store':
                keyrings[first].install(
                    keys.KeyChanges(0, len(table), tuple(table))
                )
                keyrings[first].confirm_by_store(len(table), now)
            elif action == 'ask':
                peer_freshness = keyrings[second].freshness(now)
                requests.append((first, now, peer_freshness))
            elif requests:
                asker, asked_at, peer_freshness = requests[
                    second % len(requests)
                ]
                keyrings[asker].confirm_by_peer(peer_freshness, asked_at)
            if withdrawn_at is not None and now > withdrawn_at + BOUND_S:
                for keyring in keyrings:
                    self.assertNotIsInstance(
                        keyring.check('k', now), keys.ValidKey
                    )
