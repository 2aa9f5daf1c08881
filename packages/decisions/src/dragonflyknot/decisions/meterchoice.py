"""Choose the host that is the meter of the rate limits.

All hosts derive the same order from hashes of the host names and choose the
first host that they have not lost lately. Hosts that know different hosts, or
have lost different ones, may choose different meters.
"""

from collections.abc import Iterable
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.hostorder import position_of

AVOIDED_S: Final = 3.0


class MeterChoice:
    """Remember which meters were lost."""

    def __init__(self) -> None:
        """Start without lost meters."""
        self._avoided_until_by_host: dict[str, float] = {}

    def avoid(self, host: str, now: float) -> None:
        """Avoid a host that did not answer."""
        self._avoided_until_by_host[host] = now + AVOIDED_S

    def choose(self, places: Iterable[Place], now: float) -> Place | None:
        """Return the place of the meter, None if no host is usable."""
        usable = [
            place
            for place in places
            if place.state is UpstreamState.READY
            and self._avoided_until_by_host.get(place.host, 0) <= now
        ]
        return min(
            usable, key=lambda place: position_of(place.host), default=None
        )
