"""Tell a new start of an instance that has left from a late announcement.

Where a leave message named no start, a heartbeat of the instance may be a
late one of the start that left. Each sign of a new start may be wrong: the
clock may have been set since, late heartbeats may arrive in a row, and a
health check may answer falsely. Two signs together are taken as proof.
"""

from typing import Final

from dragonflyknot.decisions.upstreamdepartures import Departure
from dragonflyknot.decisions.upstreammessages import Heartbeat

# Late heartbeats that were held up together arrive together.
MIN_INTERVAL_S: Final = 0.5
REQUIRED_SIGNS: Final = 2


class StartEvidence:
    """Collect signs that the latest announced start is a new one.

    `newest` is the latest heartbeat of the start in question, if any.
    """

    def __init__(self) -> None:
        """Start without a start in question."""
        self._first: Heartbeat | None = None
        self.newest: Heartbeat | None = None
        self._is_repeated = False
        self._is_healthy = False

    def clear(self) -> None:
        """Forget the start in question."""
        self._question(None)

    def add_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add a heartbeat; one of a later start begins a new question."""
        first, newest = self._first, self.newest
        if first is None or newest is None or _is_later(heartbeat, first):
            self._question(heartbeat)
            return
        if not _is_same_start(heartbeat, first):
            return
        if heartbeat.sequence <= newest.sequence:
            return
        self.newest = heartbeat
        if heartbeat.received_at - first.received_at >= MIN_INTERVAL_S:
            self._is_repeated = True

    def add_health_check(self, asked: Heartbeat, instance: str | None) -> None:
        """Add the instance that answered a health check, None if none did.

        `asked` is the heartbeat after which the upstream was asked.
        """
        newest = self.newest
        if newest is not None and _is_same_start(asked, newest):
            self._is_healthy = instance == newest.instance

    def signs(self, departure: Departure) -> tuple[str, ...]:
        """Return the signs that the start began after a departure."""
        newest = self.newest
        if newest is None:
            return ()
        is_later = newest.born > departure.latest_ms
        found = {
            'began_later': is_later,
            'repeated': self._is_repeated,
            'healthy': self._is_healthy,
        }
        return tuple(sign for sign, is_found in found.items() if is_found)

    def suffices(self, departure: Departure) -> bool:
        """Tell whether the start is taken as a new one."""
        return len(self.signs(departure)) >= REQUIRED_SIGNS

    def _question(self, heartbeat: Heartbeat | None) -> None:
        self._first = heartbeat
        self.newest = heartbeat
        self._is_repeated = False
        self._is_healthy = False


def _is_same_start(one: Heartbeat, other: Heartbeat) -> bool:
    return one.instance == other.instance and one.born == other.born


def _is_later(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    return heartbeat.instance != known.instance or heartbeat.born > known.born
