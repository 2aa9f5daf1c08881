"""The calls in flight at the upstream of this host.

Each request that runs at the upstream carries a chain id. A deeper call
that presents it inherits what the chain already passed. The id dies with
the request, and so does the retry pool that came with it.
"""

from dataclasses import dataclass

from dragonflyknot.decisions.calls import Call
from dragonflyknot.decisions.retry import RetryPool


@dataclass(slots=True)
class RunningCall:
    """Pair a call in flight with the retry pool that it holds.

    `deeper_s` sums the seconds during which at least one deeper call ran.
    """

    call: Call
    pool: RetryPool
    has_deeper_failed: bool = False
    deeper_s: float = 0
    _deeper_calls: int = 0
    _deeper_since: float = 0

    def deeper_started(self, now: float) -> None:
        """Note that the upstream began a deeper call."""
        if not self._deeper_calls:
            self._deeper_since = now
        self._deeper_calls += 1

    def deeper_ended(self, now: float, *, failed: bool) -> None:
        """Note that a deeper call ended, and whether it failed."""
        self._deeper_calls -= 1
        if not self._deeper_calls:
            self.deeper_s += now - self._deeper_since
        self.has_deeper_failed = self.has_deeper_failed or failed


class Chains:
    """Hold the calls in flight by the chain id given to the upstream."""

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
        """Forget a call that ended."""
        running = self._running_by_chain_id.pop(chain_id, None)
        if running is not None:
            running.pool.seal()
