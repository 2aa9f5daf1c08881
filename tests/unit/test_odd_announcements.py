"""Ports of peers and upstreams to which nobody can connect."""

import json

import testtools
from hypothesis import given, settings

from asyncrun import run_async
from dragonflyknot.peers.controlclient import ControlClient, PeerUnreachable
from dragonflyknot.upstreams.announcements import parse_announcement
from hostilejson import NESTED, strange_texts

ANNOUNCEMENT: dict[str, object] = {
    'service': 'mine',
    'slots': 10,
    'state': 'ready',
    'address': '127.0.0.1:80',
}


class AnnouncementTest(testtools.TestCase):
    """An announcement that can't be used is refused with a message."""

    # Guards against an upstream all of whose requests end by an error.
    def test_unusable(self) -> None:
        """Refuse ports out of range, nesting and numbers too large."""
        self.assertTrue(_parsed(ANNOUNCEMENT))
        for changed in (
            {'address': '127.0.0.1:99999'},
            {'address': '127.0.0.1:0'},
            {'slots': 10**30},
            {'slots': float('inf')},
            {'service': '\ud800'},
        ):
            self.assertFalse(_parsed({**ANNOUNCEMENT, **changed}), str(changed))
        self.assertTrue(parse_announcement(NESTED).is_err())

    @settings(derandomize=True, deadline=None, database=None)
    @given(strange_texts(ANNOUNCEMENT, ANNOUNCEMENT.values()))
    def test_any_bytes(self, content: bytes) -> None:
        """Parse any bytes, or return a message."""
        parsed = parse_announcement(content)
        self.assertTrue(parsed.is_ok() or parsed.is_err())


class OddPeerTest(testtools.TestCase):
    """A peer whose address can't be connected to is unreachable."""

    # Guards against gossip that counts such a peer neither way.
    def test_address_out_of_range(self) -> None:
        """Return that the peer is unreachable, and raise nothing."""

        async def body() -> None:
            async with ControlClient('secret') as client:
                for address in ('127.0.0.1:99999', '127.0.0.1', '', 'h:x'):
                    answer = await client.nudge(address, 1)
                    self.assertEqual(
                        PeerUnreachable(address), answer.unwrap_err()
                    )

        run_async(body())


def _parsed(fields: dict[str, object]) -> bool:
    return parse_announcement(json.dumps(fields).encode()).is_ok()
