"""Retry budgets of a daemon, by service.

The bound of the fleet is a ratio of the requests in a window plus a slack.
Each daemon counts its own requests and retries over such windows and stays
within its share of the bound without coordination, so that the sum over all
daemons stays within the bound.

A retry at a service that makes further calls retries those calls as well.
They count as retries at the downstream services, so most of the bound is
reserved for the services at the end of chains, where a retry costs least.
There, chains of the highest priority may use all of their share, other
chains only a part.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from dragonflyknot.decisions.siteconfig import (
    HIGHEST_CALLER_PRIORITY,
    LOWEST_CALL_PRIORITY,
)

USABLE_SLACK_RATIO: Final = 0.3
MIN_SLACK: Final = 1.0
SHARE_PER_PRIORITY: Final = 0.2
MIN_PRIORITY_SHARE: Final = 0.4


@unique
class RetryClass(Enum):
    """Classify retries by their cost; the value is the share of the bound.

    `INNER_CALL` is a call to a service that makes calls itself,
    `ENTRY_REQUEST` a request of a caller to such a service. `LEAF_SERVICE` is
    any request to a service that makes no calls.
    """

    INNER_CALL = 0.1
    ENTRY_REQUEST = 0.25
    LEAF_SERVICE = 0.7


@dataclass(frozen=True, slots=True)
class SiteRetryBound:
    """Hold the fleet's bound: retries <= ratio * requests + slack.

    It applies to each window of `window_s` seconds. The requests are those
    of the window or of the one that started half a window earlier, whichever
    are more.
    """

    ratio: float = 0.2
    slack: float = 30
    window_s: int = 10


class _SecondCounts:
    """Count the requests and retries of a service per second."""

    __slots__ = (
        '_last_second',
        '_requests_by_slot',
        '_retries_by_slot',
        '_slot_count',
    )

    def __init__(self, slot_count: int, second: int) -> None:
        self._slot_count = slot_count
        self._last_second = second
        self._requests_by_slot = [0 for _ in range(slot_count)]
        self._retries_by_slot = [0 for _ in range(slot_count)]

    def count(self, second: int, *, is_retry: bool) -> None:
        """Count one request or retry."""
        self._advance_to(second)
        counts = self._retries_by_slot if is_retry else self._requests_by_slot
        counts[second % self._slot_count] += 1

    def retries(self, second: int, window_s: int) -> int:
        """Return the number of retries in the window that ends now."""
        self._advance_to(second)
        # The oldest second is only partly in the window; count all of it.
        return self._sum(self._retries_by_slot, second, window_s + 1)

    def requests(self, second: int, window_s: int) -> int:
        """Return the requests of this window or of one half a window ago.

        The larger number counts.
        """
        self._advance_to(second)
        half_window_ago = second - window_s // 2
        return max(
            self._sum(self._requests_by_slot, second, window_s),
            self._sum(self._requests_by_slot, half_window_ago, window_s),
        )

    def _sum(self, counts: list[int], last: int, seconds: int) -> int:
        return sum(
            counts[(last - ago) % self._slot_count] for ago in range(seconds)
        )

    def _advance_to(self, second: int) -> None:
        for ago in range(min(second - self._last_second, self._slot_count)):
            slot = (second - ago) % self._slot_count
            self._requests_by_slot[slot] = 0
            self._retries_by_slot[slot] = 0
        self._last_second = max(self._last_second, second)


class SiteRetryBudget:
    """Limit the retries of this daemon, by service."""

    def __init__(self, bound: SiteRetryBound) -> None:
        """Start with the minimum slack; the number of daemons is unknown."""
        self._bound = bound
        self._slack = MIN_SLACK
        self._counts_by_service: dict[str, _SecondCounts] = {}

    def set_host_count(self, hosts: int) -> None:
        """Set this daemon's share of the slack by the number of hosts."""
        share = USABLE_SLACK_RATIO * self._bound.slack / max(1, hosts)
        self._slack = max(MIN_SLACK, share)

    def count_request(
        self, service: str, now: float, *, is_retry: bool
    ) -> None:
        """Count the first attempt of a request.

        `is_retry` tells that it is a call made by a run that was a retry.
        """
        self._counts_of(service, int(now)).count(int(now), is_retry=is_retry)

    def take(
        self, service: str, now: float, retry_class: RetryClass, priority: int
    ) -> bool:
        """Take a retry from the budget; return whether there was one."""
        second = int(now)
        window_s = self._bound.window_s
        counts = self._counts_of(service, second)
        part: float = retry_class.value
        earned = self._bound.ratio * counts.requests(second, window_s)
        allowed = self._slack + _priority_share(priority) * part * earned
        if counts.retries(second, window_s) + 1 > allowed:
            return False
        counts.count(second, is_retry=True)
        return True

    def _counts_of(self, service: str, second: int) -> _SecondCounts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            window_s = self._bound.window_s
            counts = _SecondCounts(2 * window_s + 1, second)
            self._counts_by_service[service] = counts
        return counts


def _priority_share(priority: int) -> float:
    """Return the ratio of the bound that a priority may use."""
    chain_priority = priority
    if priority >= LOWEST_CALL_PRIORITY:
        chain_priority = priority - LOWEST_CALL_PRIORITY
    levels_below = HIGHEST_CALLER_PRIORITY - chain_priority
    return max(MIN_PRIORITY_SHARE, 1 - SHARE_PER_PRIORITY * levels_below)
