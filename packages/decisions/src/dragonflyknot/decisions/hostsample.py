"""A bounded random sample of hosts."""

from collections.abc import Iterable

from dragonflyknot.decisions.randomness import Randomness


class HostSample:
    """Keep a random sample of at most `limit` hosts."""

    def __init__(self, limit: int) -> None:
        """Start without hosts."""
        self._limit = limit
        self._hosts: list[str] = []
        self._index_by_host: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._hosts)

    def load(self, hosts: Iterable[str]) -> None:
        """Add hosts, even above the limit; the next `add` evicts the excess."""
        for host in hosts:
            if host not in self._index_by_host:
                self._index_by_host[host] = len(self._hosts)
                self._hosts.append(host)

    def add(self, host: str, rng: Randomness) -> list[str]:
        """Add a host; return the hosts that were evicted."""
        self.load((host,))
        evicted: list[str] = []
        while len(self._hosts) > self._limit:
            evicted.append(self._hosts[rng.randrange(len(self._hosts))])
            self.discard(evicted[-1])
        return evicted

    def discard(self, host: str) -> None:
        """Remove a host if it is in the sample."""
        index = self._index_by_host.pop(host, None)
        if index is None:
            return
        last = self._hosts.pop()
        if last != host:
            self._hosts[index] = last
            self._index_by_host[last] = index

    def draw(self, count: int, rng: Randomness) -> list[str]:
        """Return `count` random hosts, drawn with replacement."""
        if not self._hosts:
            return []
        host_count = len(self._hosts)
        return [self._hosts[rng.randrange(host_count)] for _ in range(count)]
