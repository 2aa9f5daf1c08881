"""A bounded random sample of hosts."""

from collections.abc import Iterable

from dragonflyknot.decisions.randomness import Randomness


class HostSample:
    """Keep at most `limit` hosts; which ones is left to chance."""

    def __init__(self, limit: int) -> None:
        """Start without hosts."""
        self._limit = limit
        self._hosts: list[str] = []
        self._places_by_host: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._hosts)

    def load(self, hosts: Iterable[str]) -> None:
        """Add hosts; the next `add` brings the sample back to its limit."""
        for host in hosts:
            if host not in self._places_by_host:
                self._places_by_host[host] = len(self._hosts)
                self._hosts.append(host)

    def add(self, host: str, rng: Randomness) -> list[str]:
        """Add a host; return those that had to leave the sample."""
        self.load((host,))
        evicted: list[str] = []
        while len(self._hosts) > self._limit:
            evicted.append(self._hosts[rng.randrange(len(self._hosts))])
            self.discard(evicted[-1])
        return evicted

    def discard(self, host: str) -> None:
        """Remove a host if it is there."""
        place = self._places_by_host.pop(host, None)
        if place is None:
            return
        last = self._hosts.pop()
        if last != host:
            self._hosts[place] = last
            self._places_by_host[last] = place

    def draw(self, count: int, rng: Randomness) -> list[str]:
        """Return `count` hosts, drawn one by one from all."""
        if not self._hosts:
            return []
        size = len(self._hosts)
        return [self._hosts[rng.randrange(size)] for _ in range(count)]
