"""Declare what the edge needs from the rest of the daemon.

The daemon implements these protocols with the wrappers around its state
machines and with the peers package; tests pass fakes.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from dragonflyknot.decisions.calls import Attempt
from dragonflyknot.decisions.chains import Chains
from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.downstream import DownstreamCalls
from dragonflyknot.decisions.grants import SpentToken
from dragonflyknot.decisions.keyring import Keyring
from dragonflyknot.decisions.ledger import Resolved
from dragonflyknot.decisions.retry import RetryBudget
from dragonflyknot.decisions.routes import RouteTable
from dragonflyknot.decisions.routing import Router
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.exchange.sending import GateResult, OutgoingRequest
from dragonflyknot.exchange.tally import Tally


@dataclass(frozen=True, slots=True)
class RateRefused:
    """Refuse a request over the rate; retry after `retry_after_s` seconds."""

    retry_after_s: float


class Rates(Protocol):
    """Spend the rate tokens of workspaces."""

    async def spend(
        self, workspace: str, request_id: str, deadline: float
    ) -> SpentToken | RateRefused:
        """Return a token, or a refusal if none comes after a short wait."""

    def give_back(self, spent: SpentToken) -> None:
        """Return the token of a request that did not run."""


class Sender(Protocol):
    """Send attempts to gates and resolve those without an answer."""

    def epoch(self, host: str) -> int:
        """Return the latest ledger epoch received from a gate."""

    async def send(
        self, attempt: Attempt, outgoing: OutgoingRequest
    ) -> GateResult:
        """Send an attempt and wait for the head of its answer."""

    async def resolve(self, attempt: Attempt) -> Resolved:
        """Ask the gate for the state of an attempt, over a new connection."""

    def suspect(self, host: str, since: float) -> None:
        """Replace connections to a host without an answer since `since`."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """Identify a claim that this request won; settle it at the end."""

    operation: str


class Operations(Protocol):
    """Claim operations that run at most once."""

    async def claim(
        self, workspace: str, idempotency_key: str, deadline: float
    ) -> Claimed | Refused:
        """Claim an operation before its first attempt, or refuse it."""

    def settle(self, claimed: Claimed, *, may_have_run: bool) -> None:
        """Keep the claim if the operation may have run, else release it."""

    def issue_ticket(self) -> str:
        """Return a new idempotency key whose claim this daemon keeps."""


@dataclass(frozen=True, slots=True)
class Policy:
    """Pair a configuration with the route table built from it."""

    configuration: Configuration
    routes: RouteTable


class Policies(Protocol):
    """Provide the policy in force."""

    def current(self) -> Policy | None:
        """Return the policy in force, None before the first one arrives."""


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
    downstream_calls: DownstreamCalls = field(default_factory=DownstreamCalls)
    gate_limit: Callable[[], int] | None = None
