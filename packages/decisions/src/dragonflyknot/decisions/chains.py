"""Registry of the calls in flight at the upstream of this host.

Each request that runs at the upstream carries a chain id. A downstream call
that presents the id inherits the workspace, priority, deadline and depth of
the chain. The id and its retry pool are valid until the request ends.
"""

from dataclasses import dataclass

from dragonflyknot.decisions.calls import Call
from dragonflyknot.decisions.retry import RetryPool


@dataclass(slots=True)
class RunningCall:
    """Pair a call in flight with the retry pool that it holds.

    `downstream_s` is the total time, in seconds, during which at least one
    downstream call was in flight.
    """

    call: Call
    pool: RetryPool
    has_downstream_failed: bool = False
    downstream_s: float = 0
    _downstream_in_flight: int = 0
    _downstream_since: float = 0

    def downstream_started(self, now: float) -> None:
        """Record that the upstream started a downstream call."""
        if not self._downstream_in_flight:
            self._downstream_since = now
        self._downstream_in_flight += 1

    def downstream_ended(self, now: float, *, failed: bool) -> None:
        """Record that a downstream call ended, and whether it failed."""
        self._downstream_in_flight -= 1
        if not self._downstream_in_flight:
            self.downstream_s += now - self._downstream_since
        self.has_downstream_failed = self.has_downstream_failed or failed


class Chains:
    """Index the calls in flight by the chain id given to the upstream."""

    def __init__(self) -> None:
        """Start with no call in flight."""
        self._running_by_chain_id: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._running_by_chain_id)

    def open(self, chain_id: str, call: Call) -> RunningCall:
        """Register a call that starts at the upstream."""
        running = RunningCall(call, RetryPool(call.retries))
        self._running_by_chain_id[chain_id] = running
        return running

    def find(self, chain_id: str) -> RunningCall | None:
        """Return the call of a chain id, or None unless it is in flight."""
        return self._running_by_chain_id.get(chain_id)

    def close(self, chain_id: str) -> None:
        """Remove a call that ended and seal its retry pool."""
        running = self._running_by_chain_id.pop(chain_id, None)
        if running is not None:
            running.pool.seal()
