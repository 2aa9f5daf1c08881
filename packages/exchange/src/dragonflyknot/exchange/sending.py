"""What an edge sends to a gate and what comes back."""

from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from dragonflyknot.decisions.calls import LoadReport
from dragonflyknot.decisions.ledger import Resolved
from dragonflyknot.exchange.bodies import RequestBody
from dragonflyknot.exchange.refusing import Refused


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold the request that an attempt sends to a gate."""

    method: str
    path: str
    head: CIMultiDict[str]
    body: RequestBody


@dataclass(frozen=True, slots=True)
class Answered:
    """Hold the answer of an upstream that came through its gate."""

    answer: aiohttp.ClientResponse
    report: LoadReport | None
    retries_unused: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Hold the refusal of a gate."""

    refused: Refused
    report: LoadReport | None
    retries_unused: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Report a connection that broke or fell silent.

    `was_sent` tells whether the gate may have received the attempt, and
    `resolved` what the gate said of it, if it was asked already.
    """

    was_sent: bool
    resolved: Resolved | None = None


Received = Answered | Rejected | Lost
