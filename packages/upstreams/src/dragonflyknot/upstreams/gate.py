"""Admit the attempts of edges to the upstream of this host.

An attempt is offered to the ledger, waits in the admission queue and runs at
the upstream as a call in flight; its end is recorded in the ledger. Every
answer carries the load of the gate, so that edges know its free capacity.
"""

import time
import uuid
from dataclasses import dataclass, replace

import aiohttp
import structlog
from aiohttp import web

from dragonflyknot.decisions import admission, ledger
from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.calls import (
    Attempt,
    LoadReport,
    Outcome,
    UpstreamState,
)
from dragonflyknot.decisions.chains import Chains, RunningCall
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.attemptheaders import encode_load
from dragonflyknot.exchange.headerfilter import answer_head
from dragonflyknot.exchange.refusing import Refused, refusal_response
from dragonflyknot.exchange.relaying import BrokenAnswer, relay
from dragonflyknot.exchange.tally import Tally
from dragonflyknot.upstreams.admissionqueue import AdmissionQueue
from dragonflyknot.upstreams.announcements import (
    Announcement,
    AnnouncementCache,
)
from dragonflyknot.upstreams.dispatch import (
    UpstreamRequest,
    send_to_upstream,
)

_MIN_SERVER_ERROR_STATUS = 500
_FINAL_SCOPE = 'final'
_LOCAL_SCOPE = 'local'
_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class GatePorts:
    """Bundle what the gate needs from the rest of the daemon."""

    admission_queue: AdmissionQueue
    ledger: ledger.Ledger
    chains: Chains
    announcements: AnnouncementCache
    session: aiohttp.ClientSession
    tally: Tally


class Gate:
    """Serve attempts until the daemon drains."""

    def __init__(self, ports: GatePorts) -> None:
        """Create a gate on the ports of the daemon."""
        self._ports = ports
        self.is_draining = False
        self.in_flight = 0

    def report(self) -> LoadReport:
        """Return the load that is sent with answers and gossip."""
        report = self._ports.admission_queue.report()
        if self.is_draining:
            report = replace(report, state=UpstreamState.DRAINING)
        return replace(report, epoch=self._ports.ledger.epoch(time.monotonic()))

    async def serve(
        self, attempt: Attempt, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve an attempt from a peer."""
        self.in_flight += 1
        try:
            return await self._serve(attempt, request)
        finally:
            self.in_flight -= 1

    def resolve(self, attempt_id: str, incarnation: int) -> ledger.Resolved:
        """Return the state of an attempt; `ResolvedNever` is binding."""
        return self._ports.ledger.resolve(
            attempt_id, incarnation, time.monotonic()
        )

    async def _serve(
        self, attempt: Attempt, request: web.BaseRequest
    ) -> web.StreamResponse:
        refused = self._offer_to_ledger(attempt) or await self._start(attempt)
        if refused is None:
            return await self._run(attempt, request)
        response = self._refuse(attempt, refused)
        if request.can_read_body and not request.content.is_eof():
            response.force_close()
        return response

    def _offer_to_ledger(self, attempt: Attempt) -> Refused | None:
        if self.is_draining:
            return Refused(Refusal.DRAINING)
        offered = self._ports.ledger.offer(
            attempt.attempt_id, attempt.incarnation, time.monotonic()
        )
        match offered:
            case ledger.Accepted():
                return None
            case ledger.WrongIncarnation():
                return Refused(Refusal.WRONG_INCARNATION)
            case ledger.Revoked():
                return Refused(Refusal.REVOKED)
            case ledger.Duplicate():
                return Refused(Refusal.UPSTREAM_BROKE)

    async def _start(self, attempt: Attempt) -> Refused | None:
        has_started = False
        try:
            refused = await self._ports.admission_queue.admit(attempt)
            now = time.monotonic()
            has_started = refused is None and self._ports.ledger.mark_started(
                attempt.attempt_id, now
            )
        finally:
            if not has_started:
                self._ports.ledger.mark_never_ran(
                    attempt.attempt_id, time.monotonic()
                )
        if has_started or refused is not None:
            return refused
        self._ports.admission_queue.apply(
            admission.Cancelled(attempt.attempt_id)
        )
        return Refused(Refusal.REVOKED)

    async def _run(
        self, attempt: Attempt, request: web.BaseRequest
    ) -> web.StreamResponse:
        chain_id = uuid.uuid4().hex
        running = self._ports.chains.open(chain_id, attempt.call)
        began = time.monotonic()
        verdict: admission.Verdict | None = None
        try:
            response, verdict = await self._exchange(
                attempt, request, chain_id, running
            )
            return response
        finally:
            self._ports.chains.close(chain_id)
            self._record_end(attempt, running, began, verdict)

    async def _exchange(
        self,
        attempt: Attempt,
        request: web.BaseRequest,
        chain_id: str,
        running: RunningCall,
    ) -> tuple[web.StreamResponse, admission.Verdict]:
        announcement = self._current_announcement()
        if announcement is None:
            refused = Refused(Refusal.NO_UPSTREAM)
            return self._failure(attempt, running, refused)
        upstream_request = UpstreamRequest(
            announcement.address, chain_id, attempt.call, request
        )
        answer = await send_to_upstream(self._ports.session, upstream_request)
        if isinstance(answer, Refused):
            return self._failure(attempt, running, answer)
        async with answer:
            return await self._relay(attempt, request, running, answer)

    async def _relay(
        self,
        attempt: Attempt,
        request: web.BaseRequest,
        running: RunningCall,
        answer: aiohttp.ClientResponse,
    ) -> tuple[web.StreamResponse, admission.Verdict]:
        extra = {
            names.HOP_LOAD: encode_load(self.report()),
            names.HOP_RETRIES_UNUSED: str(running.pool.seal()),
        }
        if running.has_downstream_failed:
            extra[names.HOP_DOWNSTREAM_FAILED] = '1'
        try:
            response = await relay(
                answer, request, answer_head(answer.headers, extra)
            )
        except BrokenAnswer as broken:
            self._ports.tally.broken_answers += 1
            if broken.was_begun:
                raise
            refused = Refused(Refusal.UPSTREAM_BROKE)
            return self._failure(attempt, running, refused)
        return response, _verdict(answer.status, running)

    def _failure(
        self, attempt: Attempt, running: RunningCall, refused: Refused
    ) -> tuple[web.StreamResponse, admission.Verdict]:
        verdict = _verdict(_MIN_SERVER_ERROR_STATUS, running)
        if refused.known_outcome is Outcome.NOT_RUN:
            self._ports.ledger.mark_never_ran(
                attempt.attempt_id, time.monotonic()
            )
            verdict = admission.Verdict.REFUSED
        final = replace(refused, is_final=running.has_downstream_failed)
        unused = running.pool.seal()
        return self._refuse(attempt, final, unused), verdict

    def _record_end(
        self,
        attempt: Attempt,
        running: RunningCall,
        began: float,
        verdict: admission.Verdict | None,
    ) -> None:
        now = time.monotonic()
        self._ports.ledger.mark_finished(attempt.attempt_id, False, now)
        if verdict is None:
            self._ports.tally.cancelled += 1
            self._ports.admission_queue.apply(
                admission.Cancelled(attempt.attempt_id)
            )
            return
        self._ports.admission_queue.apply(
            admission.Finished(
                attempt.attempt_id, now - began, verdict, running.downstream_s
            )
        )

    def _current_announcement(self) -> Announcement | None:
        return self._ports.announcements.current(time.monotonic())

    def _refuse(
        self, attempt: Attempt, refused: Refused, unused: int | None = None
    ) -> web.StreamResponse:
        self._ports.tally.gate_refused_by_kind[refused.refusal] += 1
        left = attempt.call.retries if unused is None else unused
        extra = {
            names.HOP_LOAD: encode_load(self.report()),
            names.HOP_RETRIES_UNUSED: str(left),
            names.HOP_REFUSAL: f'{refused.refusal.value};{_scope(refused)}',
        }
        return refusal_response(
            refused, attempt.call.workspace, attempt.call.request_id, extra
        )


def _verdict(status: int, running: RunningCall) -> admission.Verdict:
    if status < _MIN_SERVER_ERROR_STATUS:
        return admission.Verdict.SUCCEEDED
    if running.has_downstream_failed:
        return admission.Verdict.DEEPER
    return admission.Verdict.FAILED


def _scope(refused: Refused) -> str:
    return _FINAL_SCOPE if refused.is_final else _LOCAL_SCOPE
