"""Requests of the experiments, and what is counted of them."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from dragonflyknot.decisions.routing import (
    Ending,
)


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a request; `plan` names the services still to visit."""

    name: str
    chain: str
    workspace: str
    priority: int
    deadline: float
    plan: tuple[str, ...]
    work_s: tuple[float, ...]
    body_bytes: int = 2000
    large: bool = False
    depth: int = 0

    def deeper(self, attempt: str) -> 'Request':
        """Return the call that an attempt makes on the next service."""
        return replace(
            self,
            name=f'{attempt}.',
            plan=self.plan[1:],
            work_s=self.work_s[1:],
            depth=self.depth + 1,
        )


@dataclass(frozen=True, slots=True)
class Reply:
    """Tell the hop before how its request ended."""

    ending: Ending
    unused: int = 0


Answer = Callable[[Reply], None]


@dataclass(slots=True)
class Meter:
    """Count what the callers can't see."""

    inversions: int = 0
    attempts: int = 0
    retries_by_chain: dict[str, int] = field(default_factory=dict)

    def retried(self, request: Request) -> None:
        """Count a retry against its chain."""
        count = self.retries_by_chain.get(request.chain, 0)
        self.retries_by_chain[request.chain] = count + 1

    def retries_max(self) -> int:
        """Return the most retries that one chain had."""
        return max(self.retries_by_chain.values(), default=0)
