"""The users' bound on the requests of a workspace in a sliding window."""

from bisect import bisect_left
from collections.abc import Sequence

from dragonflyknot.decisions.demand import RateLimit

WINDOW_S = 5.0
RELATIVE_TOLERANCE = 0.1
TOLERANCE = 20


def max_in_window(admitted_at: Sequence[float]) -> int:
    """Return the largest number of admissions in any window.

    `admitted_at` is in ascending order. A window holds both of its ends.
    """
    max_admitted = first = 0
    for last, at in enumerate(admitted_at):
        first = bisect_left(admitted_at, at - WINDOW_S, first)
        max_admitted = max(max_admitted, last - first + 1)
    return max_admitted


def window_bound(limit: RateLimit) -> float:
    """Return the number of requests that the users allow in a window."""
    window_limit = limit.rate * WINDOW_S + limit.burst
    return window_limit * (1 + RELATIVE_TOLERANCE) + TOLERANCE
