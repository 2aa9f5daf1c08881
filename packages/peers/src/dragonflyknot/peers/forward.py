"""Forward requests to the gates of other daemons over HTTP.

A header that only daemons may set distinguishes a refusal by a gate from an
answer of its upstream.
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
    ConnectionFailed,
    GateResult,
    OutgoingRequest,
    Rejected,
)
from dragonflyknot.peers.directory import Directory
from dragonflyknot.peers.sessions import PeerSessions

FINAL_REFUSAL = 'final'
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class Resolver(Protocol):
    """Queries gates for the state of attempts."""

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Return the state at the gate; unknown if it cannot be asked."""


class Forwarder:
    """Forward attempts over persistent connections."""

    def __init__(
        self,
        sessions: PeerSessions,
        directory: Directory,
        resolver: Resolver,
        secret: str,
    ) -> None:
        """Use the sessions, directory and fleet secret of this daemon."""
        self._sessions = sessions
        self._directory = directory
        self._resolver = resolver
        self._secret = secret

    def epoch(self, host: str) -> int:
        """Return the ledger epoch a gate last reported, 0 if none."""
        return self._directory.epoch(host)

    async def send(
        self, attempt: Attempt, outgoing: OutgoingRequest
    ) -> GateResult:
        """Send an attempt; return after the status and headers arrive."""
        address = self._directory.address(attempt.host)
        if address is None:
            return ConnectionFailed(was_sent=False)
        try:
            answer = await self._request(attempt, outgoing, address.requests)
        except _CONNECT_ERRORS:
            return ConnectionFailed(was_sent=False)
        except (aiohttp.ClientError, OSError):
            return ConnectionFailed(was_sent=True)
        report = decode_load(answer.headers.get(names.HOP_LOAD))
        if report is not None:
            self._directory.record_epoch(attempt.host, report.epoch)
        return _decode_response(answer, report)

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Ask the gate for the state of an attempt."""
        return await self._resolver.resolve(attempt)

    def suspect(self, host: str, since: float) -> None:
        """Replace the connections to a host and to silent daemons.

        Daemons that have not answered since a time (monotonic seconds) count
        as silent.
        """
        self._sessions.suspect(host, since)

    async def _request(
        self, attempt: Attempt, outgoing: OutgoingRequest, address: str
    ) -> aiohttp.ClientResponse:
        hop_headers = outgoing.head.copy()
        hop_headers[names.HOP_SECRET] = self._secret
        hop_headers[names.HOP_CALL] = encode_attempt(attempt, time.monotonic())
        with self._sessions.using(attempt.host) as session:
            return await session.request(
                outgoing.method,
                URL(f'http://{address}{outgoing.path}', encoded=True),
                headers=hop_headers,
                data=outgoing.body.content(),
                expect100=outgoing.body.is_streamed,
                allow_redirects=False,
            )


def _decode_response(
    answer: aiohttp.ClientResponse, report: LoadReport | None
) -> GateResult:
    retries_unused = _decode_count(answer.headers.get(names.HOP_RETRIES_UNUSED))
    if names.HOP_REFUSAL not in answer.headers:
        return Answered(answer, report, retries_unused)
    refused = _decode_refused(answer)
    answer.release()
    return Rejected(refused, report, retries_unused)


def _decode_refused(answer: aiohttp.ClientResponse) -> Refused:
    kind, _, scope = answer.headers[names.HOP_REFUSAL].partition(';')
    return Refused(
        refusal=_decode_refusal(kind),
        retry_after_s=_decode_retry_after_s(answer),
        outcome=_decode_outcome(answer.headers.get(names.OUTCOME)),
        is_final=scope == FINAL_REFUSAL,
    )


def _decode_refusal(kind: str) -> Refusal:
    try:
        return Refusal(kind)
    except ValueError:
        return Refusal.UPSTREAM_BROKE


def _decode_outcome(text: str | None) -> Outcome:
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def _decode_retry_after_s(answer: aiohttp.ClientResponse) -> float:
    return float(_decode_count(answer.headers.get(names.RETRY_AFTER)))


def _decode_count(text: str | None) -> int:
    """Return a count of at most 1000; 0 if absent or malformed."""
    if text is not None and text.isascii() and text.isdigit():
        return min(int(text[:9]), MS_PER_SECOND)
    return 0
