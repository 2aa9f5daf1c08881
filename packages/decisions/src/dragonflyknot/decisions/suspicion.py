"""Timeouts of suspected members."""

SUSPICION_TIMEOUT_S = 3.0
MAX_TICK_GAP_S = 1.0


class SuspicionTimers:
    """Time out suspects, but not while this daemon itself was paused."""

    def __init__(self) -> None:
        """Create the timers without suspects."""
        self._since_by_host: dict[str, float] = {}
        self._checked_at: float | None = None

    def add(self, host: str, now: float) -> None:
        """Start the timeout of a host."""
        self._since_by_host[host] = now

    def clear(self, host: str) -> None:
        """Cancel the timeout of a host, if there is one."""
        self._since_by_host.pop(host, None)

    def take_expired(self, now: float) -> list[str]:
        """Remove and return the hosts whose suspicion timed out.

        If this daemon itself was paused, it could not receive their
        refutations meanwhile, so it restarts all timeouts.
        """
        paused_s = 0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        if paused_s > MAX_TICK_GAP_S:
            self._since_by_host = dict.fromkeys(self._since_by_host, now)
        expired = [
            host
            for host, since in self._since_by_host.items()
            if now - since >= SUSPICION_TIMEOUT_S
        ]
        for host in expired:
            self._since_by_host.pop(host)
        return expired
