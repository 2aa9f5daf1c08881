"""Tests of the one reader of JSON and of the checks of fields."""

import testtools
from hypothesis import given, settings

from dragonflyknot.exchange import jsonfields
from dragonflyknot.exchange.jsonfields import FieldFault, Fields, read_json
from hostilejson import NESTED, NESTED_RECORDS, strange_texts


class ReadJsonTest(testtools.TestCase):
    """Bytes are a bounded value, or the typed error and never another."""

    def test_values(self) -> None:
        """Read what JSON has, in UTF-8."""
        self.assertEqual(
            {'a': [1, -2.5, True, None, 'ö']},
            read_json('{"a": [1, -2.5, true, null, "ö"]}'.encode()),
        )

    # Guards against nesting that ends a process by a RecursionError.
    def test_depth(self) -> None:
        """Refuse what is nested too deeply, at one stated depth."""
        depth = jsonfields.MAX_JSON_DEPTH
        allowed = b'[' * depth + b']' * depth
        self.assertIsInstance(read_json(allowed), list)
        for content in (NESTED, NESTED_RECORDS, b'[' + allowed + b']'):
            self._assert_malformed(content)

    def test_malformed(self) -> None:
        """Refuse other encodings, cut texts and texts that are too long."""
        long = b' ' * jsonfields.MAX_JSON_BYTES + b'1'
        utf16 = '{"a": 1}'.encode('utf-16')
        for content in (b'', b'{', b'\xff', b'"\xed\xa0\x80"', utf16, long):
            self._assert_malformed(content)

    @settings(derandomize=True, deadline=None, database=None)
    @given(strange_texts(('a', 'b'), (1, 'text')))
    def test_any_bytes(self, content: bytes) -> None:
        """Raise nothing but the typed error."""
        try:
            read_json(content)
        except jsonfields.MalformedJson as error:
            self.assertIn('malformed', str(error))

    def _assert_malformed(self, content: bytes) -> None:
        self.assertRaises(jsonfields.MalformedJson, read_json, content)


class FieldsTest(testtools.TestCase):
    """A field that can't be used is named; the others can be read."""

    # Guards against infinities that end a process by an OverflowError.
    def test_unusable_numbers(self) -> None:
        """Refuse a number beyond all ranges, and read its neighbours."""
        digits = b'1' * 5000
        for text in (b'1e400', b'-1e400', b'NaN', b'Infinity', digits):
            fields = Fields(
                read_json(b'{"a":%b,"b":2,"c":[%b]}' % (text, text)), 'r'
            )
            for read in (fields.integer, fields.number, fields.string):
                self.assertRaises(FieldFault, read, 'a')
            self.assertRaises(FieldFault, fields.numbers, 'c')
            self.assertEqual(2, fields.integer('b'))

    def test_booleans_are_no_numbers(self) -> None:
        """Refuse true and false where a number belongs."""
        fields = Fields({'a': True, 'b': [False]}, 'r')
        self.assertRaises(FieldFault, fields.integer, 'a')
        self.assertRaises(FieldFault, fields.number, 'a')
        self.assertRaises(FieldFault, fields.numbers, 'b')

    # Guards against texts that can't be encoded, in headers and in digests.
    def test_half_characters(self) -> None:
        """Refuse a text with a lone surrogate, and read its neighbours."""
        fields = Fields(
            read_json(rb'{"a":"\ud800","b":"ok","c":["\udfff"]}'), 'r'
        )
        self.assertRaises(FieldFault, fields.string, 'a')
        self.assertRaises(FieldFault, fields.strings, 'c')
        self.assertEqual('ok', fields.string('b'))
        self.assertRaises(FieldFault, Fields({'\ud800': 1}, 'r').names)

    def test_names(self) -> None:
        """Refuse names that are too long or have control characters."""
        longest = 'n' * jsonfields.MAX_NAME_CHARS
        fields = Fields({'a': longest, 'b': f'{longest}n', 'c': 'a\r\nb'}, 'r')
        self.assertEqual(longest, fields.name('a'))
        self.assertRaises(FieldFault, fields.name, 'b')
        self.assertRaises(FieldFault, fields.name, 'c')
