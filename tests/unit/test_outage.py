"""Check when a majority of the witnesses confirms a store outage."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions.keyring import KeyChanges, Keyring
from dragonflyknot.decisions.outage import OutageWitnesses, StoreStatement

OUT = StoreStatement(is_out=True, sequence=3)
KEYRING = Keyring()
KEYRING.install(KeyChanges(0, 3, ()))


def _witnesses(count: int) -> OutageWitnesses:
    witnesses = OutageWitnesses()
    witnesses.replace_hosts(f'h{number}' for number in range(count))
    return witnesses


class OutageWitnessesTest(testtools.TestCase):
    """A majority of the witnesses in the store's region decides."""

    def test_majority_that_finds_the_store_out_agrees(self) -> None:
        witnesses = _witnesses(4)
        witnesses.record_statement('h0', OUT, 10)
        witnesses.record_statement('h1', OUT, 11)
        self.assertIsNone(witnesses.confirmed_until(KEYRING, 12))
        witnesses.record_statement('h2', OUT, 12)
        self.assertEqual(10, witnesses.confirmed_until(KEYRING, 12))

    def test_one_reader_or_one_more_change_prevents_it(self) -> None:
        for other in (StoreStatement(False, 3), StoreStatement(True, 4)):
            witnesses = _witnesses(4)
            for host in ('h0', 'h1', 'h2'):
                witnesses.record_statement(host, OUT, 10)
            witnesses.record_statement('h3', other, 10)
            self.assertIsNone(witnesses.confirmed_until(KEYRING, 10))

    def test_announced_withdrawal_must_be_known_to_the_requester(self) -> None:
        keyring = Keyring()
        keyring.install(KeyChanges(0, 3, ()))
        informed = StoreStatement(True, 3, frozenset(('k',)))
        witnesses = _witnesses(1)
        witnesses.record_statement('h0', informed, 10)
        self.assertIsNone(witnesses.confirmed_until(keyring, 10))
        keyring.withdraw('k')
        self.assertEqual(10, witnesses.confirmed_until(keyring, 10))

    def test_partitioned_daemon_confirms_no_outage(self) -> None:
        self.assertIsNone(OutageWitnesses().confirmed_until(KEYRING, 0))
        witnesses = _witnesses(4)
        for host in ('h0', 'h1', 'h2'):
            witnesses.record_statement(host, OUT, 10)
        self.assertIsNone(witnesses.confirmed_until(KEYRING, 16))

    def test_unknown_hosts_and_late_answers_do_not_count(self) -> None:
        witnesses = _witnesses(1)
        witnesses.record_statement('stranger', OUT, 10)
        self.assertIsNone(witnesses.confirmed_until(KEYRING, 10))
        witnesses.record_statement('h0', StoreStatement(False, 3), 10)
        witnesses.record_statement('h0', OUT, 9)
        self.assertIsNone(witnesses.confirmed_until(KEYRING, 10))

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        count=st.integers(1, 9), informed=st.sets(st.integers(0, 8), max_size=9)
    )
    def test_announced_withdrawal_always_prevents_it(
        self, count: int, informed: set[int]
    ) -> None:
        """If a majority knows of the withdrawal, no other majority exists."""
        witnesses = _witnesses(count)
        informed = {number for number in informed if number < count}
        for number in set(range(count)) - informed:
            witnesses.record_statement(f'h{number}', OUT, 0)
        if len(informed) >= witnesses.majority:
            self.assertIsNone(witnesses.confirmed_until(KEYRING, 0))
