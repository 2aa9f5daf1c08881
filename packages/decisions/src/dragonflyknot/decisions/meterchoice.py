"""Choose the host that is the meter of the rate limits.

All hosts derive the same order from hashes of the host names and choose the
first host that they have not lost. A lost host is chosen again once it has
answered a probe, so that reports go on meanwhile, however many are lost.
Hosts that know different hosts, or have lost different ones, may choose
different meters.
"""

from collections.abc import Iterable
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.hostorder import position_of

PROBE_PAUSE_S: Final = 3.0


class MeterChoice:
    """Remember which meters were lost; times are in monotonic seconds."""

    def __init__(self) -> None:
        """Start without lost meters."""
        self._probe_at_by_host: dict[str, float] = {}

    def avoid(self, host: str, now: float) -> None:
        """Avoid a host that did not answer a report or a probe."""
        self._probe_at_by_host[host] = now + PROBE_PAUSE_S

    def restore(self, host: str) -> None:
        """Use a host again that has answered a probe."""
        self._probe_at_by_host.pop(host, None)

    def choose(self, places: Iterable[Place]) -> Place | None:
        """Return the place of the meter, None if no host is usable."""
        usable = [
            place
            for place in places
            if place.state is UpstreamState.READY
            and place.host not in self._probe_at_by_host
        ]
        return min(
            usable, key=lambda place: position_of(place.host), default=None
        )

    def lost_to_probe(
        self, places: Iterable[Place], now: float
    ) -> Place | None:
        """Return the lost host that is due for longest, None if none is."""
        listed = {place.host: place for place in places}
        for host in self._probe_at_by_host.keys() - listed.keys():
            self._probe_at_by_host.pop(host)
        due = {
            host: probe_at
            for host, probe_at in self._probe_at_by_host.items()
            if probe_at <= now
        }
        return listed[min(due, key=due.__getitem__)] if due else None
