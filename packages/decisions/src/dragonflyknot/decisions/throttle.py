"""Refuse requests at the first host while their chains fail downstream.

A chain that fails at its last service has already cost work at every service
before it. Each daemon therefore compares, for each route, the requests that
arrived with those that were served, and admits no more than `headroom` times
the latter (adaptive throttling). Routes of lower priority have less headroom,
so that they are throttled first. A small ratio is always admitted and detects
the end of the overload.
"""

from dataclasses import dataclass
from math import exp
from typing import Final

from dragonflyknot.decisions.randomness import Randomness
from dragonflyknot.decisions.siteconfig import HIGHEST_CALLER_PRIORITY

COUNT_DECAY_S: Final = 1.0
MIN_ADMITTED_RATIO: Final = 0.15
MAX_HEADROOM: Final = 2.5
MIN_HEADROOM: Final = 1.4
HEADROOM_PER_PRIORITY: Final = 0.4
SLACK_REQUESTS: Final = 8.0


@dataclass(slots=True)
class _RouteCounts:
    """Hold exponentially decaying counts of the requests of a route."""

    asked: float = 0
    failed: float = 0
    served: float = 0
    updated_at: float = 0

    def decay(self, now: float) -> None:
        """Decay the counts to the given time."""
        factor = exp((self.updated_at - now) / COUNT_DECAY_S)
        self.asked *= factor
        self.failed *= factor
        self.served *= factor
        self.updated_at = now


class Throttle:
    """Admit as many requests as the services of a route can complete."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts_by_route: dict[str, _RouteCounts] = {}

    def admit(
        self, route: str, priority: int, now: float, rng: Randomness
    ) -> bool:
        """Count a request; return whether to admit it."""
        counts = self._counts_by_route.get(route)
        if counts is None:
            counts = _RouteCounts(updated_at=now)
            self._counts_by_route[route] = counts
        counts.decay(now)
        counts.asked += 1
        if counts.failed < 1:
            return True
        allowed = headroom(priority) * counts.served + SLACK_REQUESTS / 2
        ratio = allowed / max(counts.asked, 1)
        return ratio >= 1 or rng.random() < max(MIN_ADMITTED_RATIO, ratio)

    def ended(self, route: str, now: float, *, is_served: bool) -> None:
        """Count the end of an admitted request."""
        counts = self._counts_by_route.get(route)
        if counts is None:
            return
        counts.decay(now)
        if is_served:
            counts.served += 1
        else:
            counts.failed += 1


def headroom(priority: int) -> float:
    """Return the admitted requests per served request of a route."""
    levels_below = HIGHEST_CALLER_PRIORITY - priority
    return max(
        MIN_HEADROOM, MAX_HEADROOM - HEADROOM_PER_PRIORITY * levels_below
    )
