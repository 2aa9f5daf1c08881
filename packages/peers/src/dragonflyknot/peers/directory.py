"""Addresses and ledger epochs of the daemons in the fleet.

Gossip supplies the addresses. Load reports in forwarded answers update the
ledger epochs of gates.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """The listeners of a daemon, each as IP:port."""

    requests: str
    control: str


class Directory:
    """Addresses and ledger epochs by host."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self._addresses_by_host: dict[str, PeerAddress] = {}
        self._epochs_by_host: dict[str, int] = {}

    def learn(self, host: str, address: PeerAddress) -> None:
        """Set the addresses of a daemon."""
        self._addresses_by_host[host] = address

    def forget(self, host: str) -> None:
        """Remove a daemon that left the fleet."""
        self._addresses_by_host.pop(host, None)
        self._epochs_by_host.pop(host, None)

    def address(self, host: str) -> PeerAddress | None:
        """Return the addresses of a daemon, or None if unknown."""
        return self._addresses_by_host.get(host)

    def record_epoch(self, host: str, epoch: int) -> None:
        """Record the ledger epoch that a gate reported."""
        self._epochs_by_host[host] = epoch

    def epoch(self, host: str) -> int:
        """Return the ledger epoch a gate last reported, 0 if none."""
        return self._epochs_by_host.get(host, 0)

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts whose addresses are known."""
        return tuple(self._addresses_by_host)
