"""What the edge needs from the rest of the daemon.

The daemon wires these to the shells of the state machines and to the peers
package; tests pass small fakes.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from dragonflyknot.decisions.calls import Attempt
from dragonflyknot.decisions.chains import Chains
from dragonflyknot.decisions.deeper import DeeperCalls
from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import Spent
from dragonflyknot.decisions.keyring import Keyring
from dragonflyknot.decisions.ledger import Resolved
from dragonflyknot.decisions.retry import RetryBudget
from dragonflyknot.decisions.routes import RouteTable
from dragonflyknot.decisions.routing import Router
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.exchange.sending import Outgoing, Received
from dragonflyknot.exchange.tally import Tally


@dataclass(frozen=True, slots=True)
class RateRefused:
    """Tell a caller to come back after `retry_after_s` seconds."""

    retry_after_s: float


class Rates(Protocol):
    """Spend the tokens of workspaces."""

    async def spend(
        self, workspace: str, request_id: str, deadline: float
    ) -> Spent | RateRefused:
        """Return a token, or after a short wait that there is none."""

    def give_back(self, spent: Spent) -> None:
        """Return the token of a request that did not run."""


class Sender(Protocol):
    """Send attempts to gates and ask what became of them."""

    def epoch(self, host: str) -> int:
        """Return the ledger epoch last heard from a gate."""

    async def send(self, attempt: Attempt, outgoing: Outgoing) -> Received:
        """Send an attempt; wait for the head of its answer."""

    async def resolve(self, attempt: Attempt) -> Resolved:
        """Ask the gate what became of an attempt over a new connection."""

    def suspect(self, host: str, since: float) -> None:
        """Use new connections where none has answered since a time."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """Hold a claim that this request won; settle it with its outcome."""

    operation: str


class Operations(Protocol):
    """Claim operations that run at most once."""

    async def claim(
        self, workspace: str, idempotency_key: str, deadline: float
    ) -> Claimed | Refused:
        """Claim an operation before its first attempt."""

    def settle(self, claimed: Claimed, *, may_have_run: bool) -> None:
        """Keep the claim of an operation that may have run, or free it."""

    def issue_ticket(self) -> str:
        """Return a new idempotency key that this daemon guards."""


@dataclass(frozen=True, slots=True)
class Policy:
    """Pair a configuration with the route table made from it."""

    configuration: Configuration
    routes: RouteTable


class Policies(Protocol):
    """Give the policy in force."""

    def current(self) -> Policy | None:
        """Return the policy in force, or None before the first one."""


@dataclass(frozen=True, slots=True)
class EdgePorts:
    """Bundle what the edge needs from the rest of the daemon."""

    policies: Policies
    keyring: Keyring
    rates: Rates
    router: Router
    budget: RetryBudget
    sender: Sender
    operations: Operations
    chains: Chains
    tally: Tally
    rng: random.Random
    deeper_calls: DeeperCalls = field(default_factory=DeeperCalls)
    gate_limit: Callable[[], int] | None = None
