"""How long each suspect still has to show that it is alive."""

SUSPICION_S = 3.0
PAUSE_S = 1.0


class Suspicions:
    """Time suspects out, with allowance for the daemon's own pauses."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._since_by_host: dict[str, float] = {}
        self._checked_at: float | None = None

    def add(self, host: str, now: float) -> None:
        """Note that a host became suspect."""
        self._since_by_host[host] = now

    def clear(self, host: str) -> None:
        """Note that a host is no longer suspect."""
        self._since_by_host.pop(host, None)

    def take_due(self, now: float) -> list[str]:
        """Remove and return the hosts whose time is over.

        A daemon that stood still itself could not hear them meanwhile, so
        it starts their time anew.
        """
        paused_s = 0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        if paused_s > PAUSE_S:
            self._since_by_host = dict.fromkeys(self._since_by_host, now)
        due = [
            host
            for host, since in self._since_by_host.items()
            if now - since >= SUSPICION_S
        ]
        for host in due:
            self._since_by_host.pop(host)
        return due
