"""Retries, bounded over the whole chain and over the whole daemon.

A chain owns one `RetryPool`, made at its first edge. A hop that calls on
hands over a part and takes back what was reported unused; a part without a
report counts as spent, so the sum over the tree never exceeds the first
pool. A `RetryBudget` besides ties the retries of a daemon to its recent
successes. `is_retryable` says which failures may be tried again at all.
"""

from dataclasses import dataclass
from math import exp2

from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.randomness import Randomness

BUDGET_FRACTION = 0.1
BUDGET_CEILING = 50.0
BUDGET_FLOOR = 3.0
BUDGET_REFILL_PER_S = 0.5
BUDGET_HALF_LIFE_S = 2.0

MAX_WORKSPACES = 1024

BACKOFF_BASE_S = 0.01
BACKOFF_CEILING_S = 0.25


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe why an attempt gave no whole answer.

    `deeper` marks a refusal that a service further down the chain gave:
    the hop next to it has already decided about a retry.
    """

    outcome: Outcome
    idempotent: bool
    deeper: bool = False


def is_retryable(failure: Failure) -> bool:
    """Return whether another attempt is safe and not another hop's task."""
    if failure.deeper:
        return False
    return failure.outcome is Outcome.NOT_RUN or failure.idempotent


class RetryPool:
    """Count the retries that one hop of a chain still holds."""

    __slots__ = ('_handed', '_left', '_sealed')

    def __init__(self, size: int) -> None:
        """Start with the retries that the hop before handed over."""
        self._left = max(0, size)
        self._handed = 0
        self._sealed = False

    @property
    def left(self) -> int:
        """Return how many retries can be spent or handed over."""
        return self._left

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def hand_over(self, wanted: int) -> int:
        """Move up to `wanted` retries to the next hop; return how many."""
        part = max(0, min(wanted, self._left))
        self._left -= part
        self._handed += part
        return part

    def take_back(self, handed: int, unused: int) -> None:
        """Take back what the next hop reports as unused of `handed`."""
        if self._sealed or handed < 0 or handed > self._handed:
            return
        self._handed -= handed
        self._left += max(0, min(unused, handed))

    def seal(self) -> int:
        """Close the pool; return the unused retries for the hop before."""
        unused = self._left
        self._left = 0
        self._sealed = True
        return unused


class RetryBudget:
    """Cap the retries of a daemon to a fraction of its recent successes.

    Each workspace earns for itself, so that the refusals of one that floods
    don't use up the retries of the others.
    """

    __slots__ = ('_earnings_by_workspace',)

    def __init__(self) -> None:
        """Start without successes."""
        self._earnings_by_workspace: dict[str, _Earnings] = {}

    def succeeded(self, now: float, workspace: str = '') -> None:
        """Earn a part of a retry with a success."""
        self._earnings(workspace).succeeded(now)

    def may_retry(self, now: float, workspace: str = '') -> bool:
        """Return whether a whole retry is at hand."""
        return self._earnings(workspace).may_retry(now)

    def retried(self, now: float, workspace: str = '') -> None:
        """Pay for a retry."""
        self._earnings(workspace).retried(now)

    def _earnings(self, workspace: str) -> '_Earnings':
        earnings = self._earnings_by_workspace.pop(workspace, None)
        if earnings is None:
            earnings = _Earnings()
            self._forget_oldest()
        self._earnings_by_workspace[workspace] = earnings
        return earnings

    def _forget_oldest(self) -> None:
        if len(self._earnings_by_workspace) >= MAX_WORKSPACES:
            oldest = next(iter(self._earnings_by_workspace))
            self._earnings_by_workspace.pop(oldest)


class _Earnings:
    """Count what the successes of one workspace have earned."""

    __slots__ = ('_earned', '_reserve', '_seen_at')

    def __init__(self) -> None:
        """Start with the reserve that lets a quiet workspace retry."""
        self._earned = float(0)
        self._reserve = BUDGET_FLOOR
        self._seen_at: float | None = None

    def succeeded(self, now: float) -> None:
        """Earn a part of a retry with a success."""
        self._age(now)
        self._earned = min(BUDGET_CEILING, self._earned + BUDGET_FRACTION)

    def may_retry(self, now: float) -> bool:
        """Return whether a whole retry is at hand."""
        self._age(now)
        return self._earned >= 1 or self._reserve >= 1

    def retried(self, now: float) -> None:
        """Pay for a retry, from the earned part first."""
        self._age(now)
        if self._earned >= 1:
            self._earned -= 1
        else:
            self._reserve = max(0, self._reserve - 1)

    def _age(self, now: float) -> None:
        if self._seen_at is None:
            self._seen_at = now
        elapsed_s = max(0, now - self._seen_at)
        self._seen_at = max(now, self._seen_at)
        self._earned *= exp2(-elapsed_s / BUDGET_HALF_LIFE_S)
        self._reserve = min(
            BUDGET_FLOOR, self._reserve + elapsed_s * BUDGET_REFILL_PER_S
        )


def backoff_s(attempt_number: int, rng: Randomness) -> float:
    """Return the wait in seconds before attempt 1, 2, ... with full jitter."""
    doublings = max(0, min(attempt_number - 1, 16))
    ceiling_s: float = min(BACKOFF_CEILING_S, BACKOFF_BASE_S * 2.0**doublings)
    return ceiling_s * rng.random()


def spread_retry_after_s(base: float, rng: Randomness) -> float:
    """Return a delay in seconds between one and two times the base."""
    return base * (1 + rng.random())
