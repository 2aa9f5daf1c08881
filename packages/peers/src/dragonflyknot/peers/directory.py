"""Know where the daemons of the fleet listen.

Gossip fills the directory. The load reports on answers keep the ledger
epochs of gates up to date.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Hold the listeners of a daemon, each as IP:port."""

    requests: str
    control: str


class Directory:
    """Hold addresses and ledger epochs by host."""

    def __init__(self) -> None:
        """Start without peers."""
        self._addresses_by_host: dict[str, PeerAddress] = {}
        self._epochs_by_host: dict[str, int] = {}

    def learn(self, host: str, address: PeerAddress) -> None:
        """Keep the address of a daemon."""
        self._addresses_by_host[host] = address

    def forget(self, host: str) -> None:
        """Drop a daemon that left."""
        self._addresses_by_host.pop(host, None)
        self._epochs_by_host.pop(host, None)

    def address(self, host: str) -> PeerAddress | None:
        """Return where a daemon listens, or None where it is not known."""
        return self._addresses_by_host.get(host)

    def heard_epoch(self, host: str, epoch: int) -> None:
        """Keep the ledger epoch that a gate reported."""
        self._epochs_by_host[host] = epoch

    def epoch(self, host: str) -> int:
        """Return the ledger epoch last heard from a gate."""
        return self._epochs_by_host.get(host, 0)

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts whose address is known."""
        return tuple(self._addresses_by_host)
