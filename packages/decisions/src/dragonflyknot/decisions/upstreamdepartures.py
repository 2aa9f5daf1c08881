"""The leavings of upstreams that a host has acknowledged.

A leaving is final for an instance and its start. It is not a state that a
later statement replaces but a fact: hosts, their peers and the store merge
what they know of leavings by union, so that each outlives the process that
acknowledged it.

An instance may start again under the id that it had. Not every leave message
names the start that it is about; then any start of the instance that began
before the message arrived may be the one that left.
"""

from dataclasses import dataclass
from hashlib import sha256
from typing import Final

MAX_DEPARTURES: Final = 32
DIGEST_DIGITS: Final = 6


@dataclass(frozen=True, slots=True)
class Departure:
    """Record that an instance has left.

    `born` is its latest start that is known to have left, in Unix
    milliseconds, 0 if none is. `heard_ms` is the time of day, in Unix
    milliseconds, at which a leave message arrived that named no start, 0 if
    each one named it.
    """

    instance: str
    born: int = 0
    heard_ms: int = 0

    @property
    def latest_ms(self) -> int:
        """Return the latest time that is known of the departure."""
        return max(self.born, self.heard_ms)

    def includes(self, born: int) -> bool:
        """Tell whether a start of the instance is known to have left."""
        return born <= self.born

    def may_include(self, born: int) -> bool:
        """Tell whether a start may have left, as far as clocks tell.

        A clock may be set, so a later time alone doesn't exclude it.
        """
        return born <= self.latest_ms

    def merged(self, other: 'Departure') -> 'Departure':
        """Return what both departures of this instance tell."""
        return Departure(
            self.instance,
            max(self.born, other.born),
            max(self.heard_ms, other.heard_ms),
        )


Departures = tuple[Departure, ...]
"""At most one departure of each instance, ordered by instance."""


def union(first: Departures, second: Departures) -> Departures:
    """Merge departures; the latest ones are kept if there are too many."""
    if not second or first == second:
        return first
    by_instance = {one.instance: one for one in first}
    for one in second:
        known = by_instance.get(one.instance, one)
        by_instance[one.instance] = known.merged(one)
    latest = sorted(by_instance.values(), key=_recency)[-MAX_DEPARTURES:]
    return tuple(sorted(latest, key=_instance))


def departure_of(departures: Departures, instance: str) -> Departure | None:
    """Return the departure of an instance, None if it has not left."""
    for departure in departures:
        if departure.instance == instance:
            return departure
    return None


def digest_of(departures: Departures) -> str:
    """Return a digest by which two hosts compare departures, '' for none."""
    if not departures:
        return ''
    lines = '\n'.join(
        f'{one.instance}={one.born}+{one.heard_ms}' for one in departures
    )
    return sha256(lines.encode()).hexdigest()[:DIGEST_DIGITS]


def _recency(departure: Departure) -> tuple[int, str]:
    return departure.latest_ms, departure.instance


def _instance(departure: Departure) -> str:
    return departure.instance
