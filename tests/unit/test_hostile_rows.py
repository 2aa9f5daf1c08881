"""Feed strange rows, sections, items and dumps to their readers."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import ValidationError
from result import Result

from dragonflyknot.operators.dump import Dump
from dragonflyknot.operators.sections import Sections, assemble, digest_of
from dragonflyknot.stores.dynamoitems import row_of
from dragonflyknot.stores.errors import Rejected
from dragonflyknot.stores.rows import (
    MAX_NUMBER,
    AcceptedBody,
    KeyChangeBody,
    KeyHeadBody,
    decoded,
    encoded,
)
from dragonflyknot.stores.writes import Row, RowKey

BODY_TYPES: tuple[type[object], ...] = (
    AcceptedBody,
    KeyHeadBody,
    KeyChangeBody,
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ['number', 'digest', 'sequence', 'workspaces', 'format', 'x']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def row_with(body: str) -> Row:
    """Return a row with a body."""
    return Row(RowKey('p', 's'), 1, 'n', body)


class HostileRowTest(testtools.TestCase):
    """Readers reject what they cannot read and never raise."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.text() | JSON.map(json.dumps))
    def test_strange_body_is_rejected(self, body: str) -> None:
        for body_type in BODY_TYPES:
            read: Result[object, Rejected] = decoded(body_type, row_with(body))
            if read.is_err():
                self.assertIsInstance(read.unwrap_err(), Rejected)

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.integers(0, MAX_NUMBER), st.text(), st.text(), st.booleans())
    def test_body_survives_the_row(
        self, number: int, digest: str, reason: str, forced: bool
    ) -> None:
        body = AcceptedBody(number, digest, 'ada', 'now', reason, forced)
        self.assertEqual(
            decoded(AcceptedBody, row_with(encoded(body))).unwrap(), body
        )

    # Guards against a number that gossip can't encode, which ends it.
    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.integers(max_value=-1)
        | st.integers(MAX_NUMBER + 1)
        | st.just(10**400)
    )
    def test_number_out_of_range_is_rejected(self, number: int) -> None:
        body = AcceptedBody(number, 'digest', 'ada', 'now')
        for body_type, text in (
            (AcceptedBody, encoded(body)),
            (KeyHeadBody, encoded(KeyHeadBody(number))),
            (KeyChangeBody, encoded(KeyChangeBody(number, '', '', False, ''))),
        ):
            read: Result[object, Rejected] = decoded(body_type, row_with(text))
            self.assertTrue(read.is_err(), text[:80])

    def test_fields_of_a_newer_version_are_ignored(self) -> None:
        newer = row_with('{"sequence": 4, "colour": "green"}')
        self.assertEqual(decoded(KeyHeadBody, newer).unwrap().sequence, 4)

    @settings(derandomize=True, deadline=None, database=None)
    @given(JSON.map(json.dumps) | st.text())
    def test_strange_manifest_is_a_bad_section(self, text: str) -> None:
        content = text.encode(errors='replace')
        digest = digest_of(content)
        sections = Sections(digest, {digest: content})
        self.assertTrue(assemble(sections).is_err())

    def test_item_without_its_fields_is_no_row(self) -> None:
        item = {'pk': {'S': 'p'}, 'sk': {'S': 's'}, 'version': {'N': 'x'}}
        self.assertRaises(ValueError, row_of, item)
        self.assertRaises(KeyError, row_of, {'pk': {'S': 'p'}})

    @settings(derandomize=True, deadline=None, database=None)
    @given(JSON.map(json.dumps) | st.text())
    def test_strange_dump_is_a_validation_error(self, text: str) -> None:
        self.assertRaises(ValidationError, Dump.model_validate_json, text)
