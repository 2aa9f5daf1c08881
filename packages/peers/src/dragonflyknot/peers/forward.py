"""Forward requests to the gates of other daemons over HTTP.

A refusal of a gate is told apart from an answer of its upstream by a header
that only daemons may set.
"""

import time
from typing import Protocol

import aiohttp
from yarl import URL

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions import ledger
from dragonflyknot.decisions.calls import Attempt, LoadReport, Outcome
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.attemptheaders import (
    MS_PER_SECOND,
    decode_load,
    encode_attempt,
)
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.exchange.sending import (
    Answered,
    Lost,
    OutgoingRequest,
    Received,
    Rejected,
)
from dragonflyknot.peers.directory import Directory
from dragonflyknot.peers.sessions import PeerSessions

FINAL_REFUSAL = 'final'
_UNOPENED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class Resolver(Protocol):
    """Ask a gate what became of an attempt."""

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Return what the gate knows; unknown where it cannot be asked."""


class Forwarder:
    """Send attempts over kept-alive connections."""

    def __init__(
        self,
        sessions: PeerSessions,
        directory: Directory,
        resolver: Resolver,
        secret: str,
    ) -> None:
        """Keep the sessions, the directory and the fleet secret."""
        self._sessions = sessions
        self._directory = directory
        self._resolver = resolver
        self._secret = secret

    def epoch(self, host: str) -> int:
        """Return the ledger epoch last heard from a gate."""
        return self._directory.epoch(host)

    async def send(
        self, attempt: Attempt, outgoing: OutgoingRequest
    ) -> Received:
        """Send an attempt; wait for the head of its answer."""
        address = self._directory.address(attempt.host)
        if address is None:
            return Lost(was_sent=False)
        try:
            answer = await self._request(attempt, outgoing, address.requests)
        except _UNOPENED:
            return Lost(was_sent=False)
        except (aiohttp.ClientError, OSError):
            return Lost(was_sent=True)
        report = decode_load(answer.headers.get(names.HOP_LOAD))
        if report is not None:
            self._directory.heard_epoch(attempt.host, report.epoch)
        return _received(answer, report)

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Ask the gate what became of an attempt."""
        return await self._resolver.resolve(attempt)

    def suspect(self, host: str, since: float) -> None:
        """Use new connections where none has answered since a time."""
        self._sessions.suspect(host, since)

    async def _request(
        self, attempt: Attempt, outgoing: OutgoingRequest, address: str
    ) -> aiohttp.ClientResponse:
        head = outgoing.head.copy()
        head[names.HOP_SECRET] = self._secret
        head[names.HOP_CALL] = encode_attempt(attempt, time.monotonic())
        with self._sessions.using(attempt.host) as session:
            return await session.request(
                outgoing.method,
                URL(f'http://{address}{outgoing.path}', encoded=True),
                headers=head,
                data=outgoing.body.content(),
                expect100=outgoing.body.is_streamed,
                allow_redirects=False,
            )


def _received(
    answer: aiohttp.ClientResponse, report: LoadReport | None
) -> Received:
    unused = _count(answer.headers.get(names.HOP_RETRIES_UNUSED))
    if names.HOP_REFUSAL not in answer.headers:
        return Answered(answer, report, unused)
    refused = _refused(answer)
    answer.release()
    return Rejected(refused, report, unused)


def _refused(answer: aiohttp.ClientResponse) -> Refused:
    kind, _, reach = answer.headers[names.HOP_REFUSAL].partition(';')
    return Refused(
        refusal=_refusal(kind),
        retry_after_s=_retry_after_s(answer),
        outcome=_outcome(answer.headers.get(names.OUTCOME)),
        is_final=reach == FINAL_REFUSAL,
    )


def _refusal(kind: str) -> Refusal:
    try:
        return Refusal(kind)
    except ValueError:
        return Refusal.UPSTREAM_BROKE


def _outcome(text: str | None) -> Outcome:
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def _retry_after_s(answer: aiohttp.ClientResponse) -> float:
    return float(_count(answer.headers.get(names.RETRY_AFTER)))


def _count(text: str | None) -> int:
    if text is not None and text.isascii() and text.isdigit():
        return min(int(text[:9]), MS_PER_SECOND)
    return 0
