"""Run a daemon from one file, without the platform and without gossip.

The file named by DRAGONFLYKNOT_STATIC holds the document's path, the keys
and the other daemons.
"""

import json
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

from dragonflyknot.callers.ports import Claimed, RateRefused
from dragonflyknot.daemon.policies import PolicyHolder
from dragonflyknot.decisions import keyring, routing
from dragonflyknot.decisions.calls import Attempt, UpstreamState
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.grants import Spent
from dragonflyknot.decisions.ledger import ResolvedUnknown
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.operators import document
from dragonflyknot.peers.directory import PeerAddress

if TYPE_CHECKING:
    from dragonflyknot.daemon.runtime import Daemon


class UnknownResolver:
    """Answer that nothing is known about an attempt."""

    async def resolve(self, attempt: Attempt) -> ResolvedUnknown:
        """Return an unknown outcome."""
        return ResolvedUnknown()


class NoOperations:
    """Refuse operations, since no table keeps their claims."""

    async def claim(
        self, workspace: str, idempotency_key: str, deadline: float
    ) -> Claimed | Refused:
        """Refuse the claim."""
        return Refused(Refusal.PLATFORM_OUT, 1)

    def settle(self, claimed: Claimed, *, may_have_run: bool) -> None:
        """Do nothing, since no claim is ever won."""

    def issue_ticket(self) -> str:
        """Return a ticket that nobody honours."""
        return ''


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


def incarnation(drawn: int) -> int:
    """Return the incarnation that the static file implies."""
    return 0 if 'DRAGONFLYKNOT_STATIC' in os.environ else drawn


def load(daemon: 'Daemon') -> None:
    """Install the document, the keys and the peers of the static file."""
    path = os.environ.get('DRAGONFLYKNOT_STATIC')
    if path is None:
        return
    static = json.loads(Path(path).read_text())
    parsed = document.parse(Path(static['document']).read_text()).unwrap()
    revision = Revision(1, 'static', 'static')
    daemon.policies.install(parsed.configuration(revision))
    daemon.keyring.bound_s = 1e9
    records = tuple(
        keyring.KeyRecord(digest, workspace, False, 1)
        for digest, workspace in static['keys'].items()
    )
    daemon.keyring.install(keyring.KeyChanges(0, 1, records))
    daemon.keyring.confirm_by_store(1, time.monotonic())
    for peer in static['peers']:
        daemon.directory.learn(
            peer['host'], PeerAddress(peer['requests'], peer['control'])
        )
        seen = routing.TargetSeen(
            peer['host'],
            0,
            peer['service'],
            peer['data_center'],
            peer['region'],
            UpstreamState.READY,
            None,
        )
        daemon.router.handle(seen, time.monotonic())
