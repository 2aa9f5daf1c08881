"""Request counters of a daemon.

The same counters feed the state dump, the control-room view and statsd.
They only increase; consumers compute differences.
"""

from collections import Counter
from dataclasses import dataclass, field

from dragonflyknot.decisions.refusals import Refusal


@dataclass(frozen=True, slots=True)
class WorkspaceRefusal:
    """Identify a refusal counter by workspace and kind."""

    workspace: str
    refusal: Refusal


@dataclass(slots=True)
class Tally:
    """Hold the request counters of one daemon."""

    admitted_by_workspace: Counter[str] = field(default_factory=Counter)
    answered_by_workspace: Counter[str] = field(default_factory=Counter)
    refused_by_workspace: Counter[WorkspaceRefusal] = field(
        default_factory=Counter
    )
    gate_refused_by_kind: Counter[Refusal] = field(default_factory=Counter)
    retries: int = 0
    resolves: int = 0
    broken_answers: int = 0
    cancelled: int = 0

    def refused(self, workspace: str, refusal: Refusal) -> None:
        """Count a refusal by the edge."""
        self.refused_by_workspace[WorkspaceRefusal(workspace, refusal)] += 1
