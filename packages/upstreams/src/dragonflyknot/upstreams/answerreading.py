"""Read the answers of the upstream and tell what they say of a request.

An answer must belong to the request that was sent last; a statement that it
did not run must name it. Links return to their pool after a whole answer.
"""

from collections.abc import Callable
from typing import Final

import structlog

from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange import links
from dragonflyknot.exchange.clientlink import (
    ClientLink,
    LinkLost,
    Response,
    read_body,
)
from dragonflyknot.exchange.dialect import HOP_HEADERS, Dialect
from dragonflyknot.exchange.linkpool import LinkPool
from dragonflyknot.exchange.outcomes import (
    MIN_SERVER_ERROR_STATUS,
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
    OutgoingRequest,
)

MAX_LINK_IDLE_S: Final = 8.0
# Part of the keep-alive timeout of the upstream after which links close.
KEEP_ALIVE_SHARE: Final = 0.7
MISDIRECTED_REQUEST_STATUS: Final = 421
# After so many answers to other requests, the link is closed.
MAX_SKIPPED_ANSWERS: Final = 8
MAX_KEEP_ALIVE_DIGITS: Final = 9
_log = structlog.get_logger(__name__)


class AnswerReader:
    """Read the answers on the links of one pool."""

    def __init__(self, dialect: Dialect, pool: LinkPool) -> None:
        """Use the header names of a dialect."""
        self._pool = pool
        self._signature_header = dialect.signature.lower()
        self._not_run_header = dialect.not_run.lower()
        self._request_id_header = dialect.request_id.lower()

    async def receive(
        self, link: ClientLink, outgoing: OutgoingRequest
    ) -> Response:
        """Return the answer to the request; skip those to other requests.

        Raise LinkLost if none arrives.
        """
        for _ in range(MAX_SKIPPED_ANSWERS):
            answer = await link.receive()
            if self._is_answer_to(answer, outgoing, link):
                return answer
            _log.info('answer_of_another_request', status=answer.status)
            link.mark_unusable()
            if not isinstance(await read_body(answer), bytes):
                break
        raise LinkLost(was_sent=True)

    def _is_answer_to(
        self, answer: Response, outgoing: OutgoingRequest, link: ClientLink
    ) -> bool:
        """Return whether an answer belongs to the request that was sent last.

        It must have the id of the request. An answer without an id is accepted
        on a link that has not carried any other request.
        """
        if self._echoes_id(answer, outgoing):
            return True
        return self._request_id_header not in answer.head and link.sends == 1

    def _echoes_id(self, answer: Response, outgoing: OutgoingRequest) -> bool:
        """Return whether an answer has the id of the request, or both none."""
        echoed = answer.head.get(self._request_id_header, b'')
        return echoed == outgoing.request_id

    async def outcome_of(
        self, link: ClientLink, answer: Response, outgoing: OutgoingRequest
    ) -> Outcome:
        """Return what an answer says of the request; read its body.

        Raise BodyBroken if the body ends early.
        """
        body = await read_body(answer)
        status = answer.status
        refusal = self._refusal_in(answer)
        if refusal is not None or status >= MIN_SERVER_ERROR_STATUS:
            link.remember_unserved(outgoing.request_id)
        if refusal is not None and not self._echoes_id(answer, outgoing):
            # A promise that nothing was run must name the request.
            link.abort()
            return MayHaveRun(Refusal.UPSTREAM_BROKE)
        if refusal is not None:
            self._return_link(link, answer)
            return NotRun(refusal, reached_upstream=True)
        signature = answer.head.get(self._signature_header)
        encoded = answer.head.get(b'content-encoding')
        if signature is None or encoded is not None:
            link.abort()
            return MayHaveRun(Refusal.UPSTREAM_BROKE)
        lines = links.end_to_end_lines(answer.lines, answer.head, HOP_HEADERS)
        if isinstance(body, bytes):
            self._return_link(link, answer)
            return Answered(status, lines, body, len(body))
        return Answered(
            status, lines, body, answer.length, self._link_release(link)
        )

    def _refusal_in(self, answer: Response) -> Refusal | None:
        """Return the refusal if the upstream states that nothing was run."""
        if answer.status == MISDIRECTED_REQUEST_STATUS:
            return Refusal.WRONG_INCARNATION
        if answer.head.get(self._not_run_header) is not None:
            return Refusal.SHED
        return None

    def _link_release(self, link: ClientLink) -> Callable[[], None]:
        return lambda: self._pool.release(link)

    def _return_link(self, link: ClientLink, answer: Response) -> None:
        keep_alive = answer.head.get(b'keep-alive')
        if keep_alive is not None:
            self._adopt_keep_alive(keep_alive)
        self._pool.release(link)

    def _adopt_keep_alive(self, keep_alive: bytes) -> None:
        for option in keep_alive.split(b','):
            name, _equals, seconds = option.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                idle_s = int(seconds[:MAX_KEEP_ALIVE_DIGITS]) * KEEP_ALIVE_SHARE
                self._pool.idle_s = min(MAX_LINK_IDLE_S, idle_s)
