"""Requests from an edge to a gate and the possible results."""

from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from dragonflyknot.decisions.calls import LoadReport
from dragonflyknot.decisions.ledger import Resolved
from dragonflyknot.exchange.bodies import RequestBody
from dragonflyknot.exchange.refusing import Refused


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Hold the request that an attempt sends to a gate."""

    method: str
    path: str
    head: CIMultiDict[str]
    body: RequestBody


@dataclass(frozen=True, slots=True)
class Answered:
    """Hold the response of an upstream, received through its gate.

    `retries_unused` counts the retries of the chain that the gate returned.
    """

    answer: aiohttp.ClientResponse
    report: LoadReport | None
    retries_unused: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Hold the refusal of a gate.

    `retries_unused` counts the retries of the chain that the gate returned.
    """

    refused: Refused
    report: LoadReport | None
    retries_unused: int


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """Report a connection that failed or timed out.

    `was_sent` states whether the gate may have received the attempt.
    `resolved` is the gate's reply on the fate of the attempt, if it was
    already asked.
    """

    was_sent: bool
    resolved: Resolved | None = None


GateResult = Answered | Rejected | ConnectionFailed
