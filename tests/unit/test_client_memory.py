"""Test which connection gives way when the account of clients is full."""

from dataclasses import dataclass

import testtools

from dragonflyknot.exchange.clientmemory import (
    IDLE_LINK_BYTES,
    REFUSING_SHARE,
    ClientMemory,
)

LIMIT_BYTES = 1024 * 1024
LARGE_BYTES = 200 * 1024
LONG_AGO = float(-1000)


@dataclass(eq=False)
class FakeLink:
    """A connection whose state a test sets."""

    held_bytes: int
    waiting_since: float | None
    moved_bytes: int = 0
    is_closed: bool = False

    def close_for_room(self) -> None:
        """Remember that the connection was closed."""
        self.is_closed = True


def memory_of(*links: FakeLink) -> ClientMemory:
    """Return an account in which some connections take part."""
    memory = ClientMemory(LIMIT_BYTES)
    for link in links:
        memory.join(link)
        memory.change(link.held_bytes)
    return memory


class FullAccountTest(testtools.TestCase):
    """More is held than the limit allows."""

    # Guards against idle connections that are closed though it makes no room.
    def test_longest_wait_that_holds_much_is_closed(self) -> None:
        """Pass over idle connections and those whose client waits."""
        idle = FakeLink(IDLE_LINK_BYTES, LONG_AGO)
        served = FakeLink(LARGE_BYTES, None)
        later = FakeLink(LARGE_BYTES, 2.0)
        earlier = FakeLink(LARGE_BYTES, 1.0)
        memory = memory_of(idle, served, later, earlier)
        memory.change(LIMIT_BYTES - memory.held_bytes)
        memory.change(1)
        closed = [one.is_closed for one in (idle, served, later, earlier)]
        self.assertEqual([False, False, False, True], closed)

    # Guards against more and more connections that are closed while the first
    # ones have not released what they held.
    def test_what_is_closing_counts_as_released(self) -> None:
        """Close no second connection while the first makes room enough."""
        first = FakeLink(LARGE_BYTES, 1.0)
        second = FakeLink(LARGE_BYTES, 2.0)
        memory = memory_of(first, second)
        memory.change(LIMIT_BYTES - memory.held_bytes)
        memory.change(1)
        memory.change(1)
        self.assertTrue(first.is_closed)
        self.assertFalse(second.is_closed)


class RoomTest(testtools.TestCase):
    """A new request asks for room."""

    def test_stalled_client_gives_way(self) -> None:
        """Close the stalled connection; take the request after it left."""
        stalled = FakeLink(LARGE_BYTES, LONG_AGO)
        memory = memory_of(stalled)
        memory.change(int(LIMIT_BYTES * REFUSING_SHARE) - LARGE_BYTES + 1)
        self.assertFalse(memory.has_room())
        self.assertTrue(stalled.is_closed)
        memory.change(-LARGE_BYTES)
        memory.leave(stalled)
        self.assertTrue(memory.has_room())

    def test_client_that_moves_is_kept(self) -> None:
        """Refuse the request rather than close a client that sends."""
        moving = FakeLink(LARGE_BYTES, LONG_AGO, moved_bytes=1 << 40)
        memory = memory_of(moving)
        memory.change(LIMIT_BYTES - LARGE_BYTES)
        self.assertFalse(memory.has_room())
        self.assertFalse(moving.is_closed)
