"""Tests of the JSON headers that daemons exchange."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as some

from dragonflyknot.decisions.calls import (
    Attempt,
    Call,
    LoadReport,
    UpstreamState,
)
from dragonflyknot.exchange.attemptheaders import (
    MAX_DEPTH,
    decode_attempt,
    decode_load,
    encode_attempt,
    encode_load,
)

_names = some.text(max_size=40)
_counts = some.integers(min_value=0, max_value=1_000_000)
_calls = some.builds(
    Call,
    request_id=_names,
    chain_id=_names,
    workspace=_names,
    service=_names,
    priority=some.integers(0, 9),
    deadline=some.just(12.5),
    depth=some.integers(0, MAX_DEPTH),
    retries=_counts,
    once=some.booleans(),
    idempotent=some.booleans(),
)
_attempts = some.builds(
    Attempt,
    attempt_id=some.text(min_size=1, max_size=64),
    host=_names,
    incarnation=_counts,
    call=_calls,
)


class AttemptHeaderTest(testtools.TestCase):
    """Attempts are decoded to what was encoded; other text is rejected."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(_attempts)
    def test_round_trip(self, attempt: Attempt) -> None:
        text = encode_attempt(attempt, 10.0)
        self.assertTrue(text.isascii())
        self.assertEqual(attempt, decode_attempt(text, 10.0).unwrap())

    @settings(derandomize=True, deadline=None, database=None)
    @given(some.text())
    def test_garbage_is_an_error(self, text: str) -> None:
        self.assertTrue(decode_attempt(text, 10.0).is_err())

    def test_wrong_fields(self) -> None:
        call = Call('r', 'c', 'w', 's', 3, 12.5)
        text = encode_attempt(Attempt('1.r.1', 'h', 3, call), 10.0)
        wrong = (
            text.replace('"priority": 3', '"priority": 10'),
            text.replace('"priority": 3', '"priority": "x"'),
            text.replace('"retries": 0', '"retries": -1'),
            text.replace('"retries": 0', f'"retries": {10**400}'),
            text.replace('"incarnation": 3', f'"incarnation": {2**64}'),
            text.replace('"left_ms": 2500.0', '"left_ms": NaN'),
            text.replace('"1.r.1"', '""'),
        )
        for broken in wrong:
            self.assertNotEqual(text, broken)
            self.assertTrue(decode_attempt(broken, 10.0).is_err())


class LoadHeaderTest(testtools.TestCase):
    """Load reports are decoded to what was encoded."""

    def test_round_trip(self) -> None:
        report = LoadReport(UpstreamState.READY, 9, 8, 7, 6, 5, 4)
        self.assertEqual(report, decode_load(encode_load(report)))

    def test_garbage_is_nothing(self) -> None:
        for text in (None, '', '{}', '{"state": "odd"}', '[1]'):
            self.assertIsNone(decode_load(text))

    # Guards against loads by which nobody can divide.
    def test_numbers_out_of_range(self) -> None:
        text = encode_load(LoadReport(UpstreamState.READY, 9, 8, 7, 6, 5, 4))
        for name in ('"limit": 9', '"running": 8', '"queued": 7', '"epoch": 4'):
            large = text.replace(name, f'{name}{"0" * 400}')
            self.assertNotEqual(text, large)
            self.assertIsNone(decode_load(large))
