"""Tests of the check of addresses that others write."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.exchange.addresses import is_address, is_port


class PeerAddressTest(testtools.TestCase):
    """An address is an IPv4 address and a port, or it is refused."""

    def test_usable(self) -> None:
        """Accept the lowest and the highest port."""
        for text in ('127.0.0.1:1', '10.128.0.9:65535'):
            self.assertTrue(is_address(text), text)

    # Guards against ports that end whoever connects by an OverflowError.
    def test_unusable(self) -> None:
        """Refuse ports out of range, and what is no IPv4 address."""
        for text in (
            '',
            ':',
            '127.0.0.1',
            '127.0.0.1:',
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '127.0.0.1:99999',
            '127.0.0.1:-1',
            '127.0.0.1:+1',
            '127.0.0.1: 1',
            '127.0.0.1:1_0',
            '127.0.0.1:²',
            '127.0.0.1:١',
            f'127.0.0.1:{"1" * 5000}',
            '127.0.0.1\0:1',
            '127.1:1',
            'localhost:1',
            '[::1]:1',
            '\ud800:1',
        ):
            self.assertFalse(is_address(text), ascii(text))
        for port in (True, 1.0, '1', None, 0, -1, 10**30):
            self.assertFalse(is_port(port))

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.text(st.characters(codec=None)))
    def test_any_text(self, text: str) -> None:
        """Tell of any text whether it is an address."""
        self.assertIsInstance(is_address(text), bool)
