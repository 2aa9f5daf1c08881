"""Match calls of an upstream to the running requests that caused them.

A call carries no API key and no workspace, but its id extends the id of the
request that the upstream is running. A daemon that tracks the requests
running at its own upstream can therefore find the origin of a call and give
the call the priority of its chain.
"""

from dataclasses import dataclass
from typing import Final

CALL_DETECTION_WINDOW_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class Origin:
    """Hold what a call inherits from the request that it serves.

    `is_retry` tells that the run is a retry, so that its calls count as
    retries too.
    """

    priority: int
    workspace: str
    is_retry: bool = False


class RunningRequests:
    """Track the requests that are running at the upstream of this host."""

    def __init__(self) -> None:
        """Start without running requests."""
        self._origins_by_id: dict[bytes, Origin] = {}
        self._count_by_length: dict[int, int] = {}
        self._last_call_at = float('-inf')

    def begin(self, request_id: bytes, origin: Origin) -> None:
        """Add a request that is sent to the upstream."""
        if not request_id:
            return
        if request_id not in self._origins_by_id:
            length = len(request_id)
            count = self._count_by_length.get(length, 0)
            self._count_by_length[length] = count + 1
        self._origins_by_id[request_id] = origin

    def end(self, request_id: bytes) -> None:
        """Remove a request that has ended."""
        if self._origins_by_id.pop(request_id, None) is None:
            return
        length = len(request_id)
        self._count_by_length[length] -= 1
        if not self._count_by_length[length]:
            self._count_by_length.pop(length)

    def makes_calls(self, now: float) -> bool:
        """Tell whether the upstream has made a call recently."""
        return now - self._last_call_at < CALL_DETECTION_WINDOW_S

    def origin_of(self, request_id: bytes, now: float) -> Origin | None:
        """Return the origin of a call, or None if the request is no call."""
        found: Origin | None = None
        longest = 0
        for length in self._count_by_length:
            if longest < length < len(request_id):
                origin = self._origins_by_id.get(request_id[:length])
                if origin is not None:
                    found = origin
                    longest = length
        if found is not None:
            self._last_call_at = now
        return found
