"""The open connections of a listener, and which one makes room for others."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from dragonflyknot.exchange.clientmemory import ClientLink, ClientMemory

# Of the 4,100 descriptors of a small machine, 200 are for files.
DEFAULT_MAX_SOCKETS: Final = 3900
CALLERS_SHARE: Final = 0.45
PEERS_SHARE: Final = 0.25
CONTROL_SHARE: Final = 0.03
# What the kernel and the reads ahead hold for a connection beside the account.
BYTES_A_LINK: Final = 64 * 1024
_Link = TypeVar('_Link', bound=ClientLink)


@dataclass(frozen=True, slots=True)
class LinkShares:
    """Divide the sockets of a process among the connections from others.

    What is left is for connections to the upstream, peers and the store. The
    memory for clients, in bytes, bounds the connections too.
    """

    max_sockets: int
    memory_bytes: int

    @property
    def callers(self) -> int:
        """Return how many connections of callers may be open."""
        return self._share(CALLERS_SHARE)

    @property
    def peers(self) -> int:
        """Return how many connections from other hosts may be open."""
        return self._share(PEERS_SHARE)

    @property
    def control(self) -> int:
        """Return how many connections any other listener may have open."""
        return self._share(CONTROL_SHARE)

    def _share(self, share: float) -> int:
        by_memory = self.memory_bytes // BYTES_A_LINK
        return max(1, min(int(self.max_sockets * share), by_memory))


class LinkSet(Generic[_Link]):
    """Hold a bounded number of connections.

    They stand in the order in which they began to wait for their clients.
    """

    def __init__(self, max_links: int, memory: ClientMemory) -> None:
        """Create an empty set of connections that count in `memory`."""
        self._max_links = max_links
        self._memory = memory
        self._links: dict[_Link, None] = {}
        self._closing: set[_Link] = set()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._links)

    def __iter__(self) -> Iterator[_Link]:
        """Iterate over the connections that are open now."""
        return iter(tuple(self._links))

    def add(self, link: _Link) -> None:
        """Take in a connection, which waits for its client."""
        self._links[link] = None
        self._memory.join(link)

    def renew(self, link: _Link) -> None:
        """Note that a connection begins to wait for its client again."""
        if link in self._links:
            del self._links[link]
            self._links[link] = None

    def remove(self, link: _Link) -> None:
        """Forget a connection that was lost."""
        self._links.pop(link, None)
        self._closing.discard(link)
        self._memory.leave(link)

    def make_room(self, opening: int) -> bool:
        """Return whether one more connection may open, beside `opening` ones.

        Close the one that has waited longest for its client, if need be.
        """
        remaining = len(self._links) + opening - len(self._closing)
        if remaining < self._max_links:
            return True
        for link in self._links:
            if link.waiting_since is not None and link not in self._closing:
                self._closing.add(link)
                link.close_for_room()
                return True
        return False
