"""Retry limits for a whole call chain and for a whole daemon.

The first edge of a chain creates one `RetryPool`. A hop passes a part of
its pool on with each call to the next hop, and takes back the retries
reported as unused. Retries without a report count as spent, so the sum over
the call tree never exceeds the first pool. In addition, a `RetryBudget`
limits the retries of a daemon to a fraction of its recent successes.
`is_retryable` decides which failures may be retried at all.
"""

from dataclasses import dataclass
from math import exp2

from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.randomness import Randomness

EARNED_RETRIES_PER_SUCCESS = 0.1
MAX_EARNED_RETRIES = 50.0

# A reserve, refilled over time, lets a workspace with few successes retry.
MAX_RESERVE_RETRIES = 3.0
RESERVE_RETRIES_PER_S = 0.5

EARNED_HALF_LIFE_S = 2.0

MAX_WORKSPACES = 1024

BACKOFF_BASE_S = 0.01
MAX_BACKOFF_S = 0.25


@dataclass(frozen=True, slots=True)
class Failure:
    """Describe an attempt that returned no complete response.

    `deeper` marks a refusal by a service further down the chain. The hop
    that called that service has already decided whether to retry.
    """

    outcome: Outcome
    idempotent: bool
    deeper: bool = False


def is_retryable(failure: Failure) -> bool:
    """Return whether a retry is safe and is up to this hop."""
    if failure.deeper:
        return False
    return failure.outcome is Outcome.NOT_RUN or failure.idempotent


class RetryPool:
    """Count the retries that one hop of a chain has left."""

    __slots__ = ('_is_closed', '_passed_on', '_remaining')

    def __init__(self, size: int) -> None:
        """Start with the retries that the previous hop passed on."""
        self._remaining = max(0, size)
        self._passed_on = 0
        self._is_closed = False

    @property
    def left(self) -> int:
        """Return the number of retries that can be spent or passed on."""
        return self._remaining

    def spend(self) -> bool:
        """Spend one retry; return whether one was left."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def hand_over(self, wanted: int) -> int:
        """Pass up to `wanted` retries on to the next hop; return how many."""
        passed_on = max(0, min(wanted, self._remaining))
        self._remaining -= passed_on
        self._passed_on += passed_on
        return passed_on

    def take_back(self, handed: int, unused: int) -> None:
        """Take back the `unused` ones of `handed` retries passed on."""
        if self._is_closed or handed < 0 or handed > self._passed_on:
            return
        self._passed_on -= handed
        self._remaining += max(0, min(unused, handed))

    def seal(self) -> int:
        """Close the pool; return the unused retries, for the previous hop."""
        unused = self._remaining
        self._remaining = 0
        self._is_closed = True
        return unused


class RetryBudget:
    """Limit the retries of a daemon to a fraction of its recent successes.

    Each workspace has its own budget, so that an overloading workspace whose
    requests are refused cannot use up the retries of the others.
    """

    __slots__ = ('_budgets_by_workspace',)

    def __init__(self) -> None:
        """Create an empty budget for each workspace on first use."""
        self._budgets_by_workspace: dict[str, _WorkspaceBudget] = {}

    def record_success(self, now: float, workspace: str = '') -> None:
        """Add the fraction of a retry that a success earns."""
        self._budget_for(workspace).record_success(now)

    def may_retry(self, now: float, workspace: str = '') -> bool:
        """Return whether at least one retry is available."""
        return self._budget_for(workspace).may_retry(now)

    def record_retry(self, now: float, workspace: str = '') -> None:
        """Deduct one retry."""
        self._budget_for(workspace).record_retry(now)

    def _budget_for(self, workspace: str) -> '_WorkspaceBudget':
        budget = self._budgets_by_workspace.pop(workspace, None)
        if budget is None:
            budget = _WorkspaceBudget()
            self._evict_oldest()
        self._budgets_by_workspace[workspace] = budget
        return budget

    def _evict_oldest(self) -> None:
        if len(self._budgets_by_workspace) >= MAX_WORKSPACES:
            oldest = next(iter(self._budgets_by_workspace))
            self._budgets_by_workspace.pop(oldest)


class _WorkspaceBudget:
    """Hold the retry budget of one workspace."""

    __slots__ = ('_earned', '_reserve', '_updated_at')

    def __init__(self) -> None:
        """Start with a full reserve and nothing earned."""
        self._earned = float(0)
        self._reserve = MAX_RESERVE_RETRIES
        self._updated_at: float | None = None

    def record_success(self, now: float) -> None:
        """Add the fraction of a retry that a success earns."""
        self._update(now)
        self._earned = min(
            MAX_EARNED_RETRIES, self._earned + EARNED_RETRIES_PER_SUCCESS
        )

    def may_retry(self, now: float) -> bool:
        """Return whether at least one retry is available."""
        self._update(now)
        return self._earned >= 1 or self._reserve >= 1

    def record_retry(self, now: float) -> None:
        """Deduct one retry, from the earned part first."""
        self._update(now)
        if self._earned >= 1:
            self._earned -= 1
        else:
            self._reserve = max(0, self._reserve - 1)

    def _update(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
        elapsed_s = max(0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._earned *= exp2(-elapsed_s / EARNED_HALF_LIFE_S)
        self._reserve = min(
            MAX_RESERVE_RETRIES,
            self._reserve + elapsed_s * RESERVE_RETRIES_PER_S,
        )


def backoff_s(attempt_number: int, rng: Randomness) -> float:
    """Return the backoff in seconds, with full jitter.

    `attempt_number` counts from 1.
    """
    doublings = max(0, min(attempt_number - 1, 16))
    max_backoff_s: float = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0**doublings)
    return max_backoff_s * rng.random()


def jittered_retry_after_s(base: float, rng: Randomness) -> float:
    """Return a random delay in seconds between one and two times the base."""
    return base * (1 + rng.random())
