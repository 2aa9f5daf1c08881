"""Run a daemon from one file, without the platform and without gossip.

The file named by DRAGONFLYKNOT_STATIC holds the document's path, the keys
and the other daemons.
"""

import time
from typing import TYPE_CHECKING

from dragonflyknot.callers.ports import RateRefused
from dragonflyknot.daemon.policies import PolicyHolder
from dragonflyknot.decisions.grants import Spent

if TYPE_CHECKING:
    pass


class LocalRates:
    """Hold one bucket a workspace, for a single edge."""

    def __init__(self, policies: PolicyHolder) -> None:
        """Read the limits from the policy in force."""
        self._policies = policies
        self._tokens_by_workspace: dict[str, float] = {}
        self._filled_at_by_workspace: dict[str, float] = {}

    async def spend(
        self, workspace: str, request_id: str, deadline: float
    ) -> Spent | RateRefused:
        """Return a token, or the seconds to wait for one."""
        policy = self._policies.current()
        if policy is None:
            return RateRefused(1)
        limits = policy.configuration.limits(workspace)
        if limits is None:
            return RateRefused(1)
        now = time.monotonic()
        filled_at = self._filled_at_by_workspace.get(workspace, now)
        tokens = self._tokens_by_workspace.get(workspace, limits.burst)
        tokens = min(limits.burst, tokens + limits.rate * (now - filled_at))
        self._filled_at_by_workspace[workspace] = now
        self._tokens_by_workspace[workspace] = max(tokens - 1, 0)
        return Spent(workspace, now) if tokens >= 1 else RateRefused(1)

    def give_back(self, spent: Spent) -> None:
        """Return a token."""
        self._tokens_by_workspace[spent.workspace] += 1
