"""Serve the requests of callers and the deeper calls of upstreams.

A caller's request is checked for its route, its key and the rate of its
workspace. A deeper call is one that an upstream makes while it runs a
request. Its chain has already passed these checks, so it inherits the
workspace, the priority, the deadline and a part of the retry pool. Both are
then sent to gates in the same way; on a route that runs at most once, the
operation is claimed first.
"""

import asyncio
import time
import uuid
from dataclasses import dataclass
from types import MappingProxyType

import structlog
from aiohttp import web

from dragonflyknot.callers import credentials, ports
from dragonflyknot.callers.attempts import Attempts, CallResult, CallRun
from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.calls import Call, Outcome
from dragonflyknot.decisions.chains import RunningCall
from dragonflyknot.decisions.document import OPEN_WORKSPACE, Route
from dragonflyknot.decisions.grants import SpentToken
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.retry import RetryPool, jittered_retry_after_s
from dragonflyknot.exchange import sending
from dragonflyknot.exchange.attemptheaders import MAX_DEPTH
from dragonflyknot.exchange.bodies import RequestBody, read_body
from dragonflyknot.exchange.headerfilter import request_head
from dragonflyknot.exchange.refusing import Refused, refusal_response
from dragonflyknot.exchange.relaying import BrokenAnswer, abort

TICKETS_PATH = '/.dragonflyknot/tickets'
RETRY_AFTER_S = 1.0
# Leaves time for the answer of a deeper call to return before the deadline of
# its parent call.
DEEPER_DEADLINE_MARGIN_S = 0.002
UNIDENTIFIED_WORKSPACE = '_unidentified'
_MIN_SERVER_ERROR_STATUS = 500

_NO_HEADERS = MappingProxyType[str, str]({})
_CLOSE_HEADERS = MappingProxyType({'Connection': 'close'})
_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Admitted:
    """Describe a request that passed its checks and may be sent to gates."""

    call: Call
    route: Route
    pool: RetryPool
    spent: SpentToken | None = None


@dataclass(frozen=True, slots=True)
class Denied:
    """Describe a request that did not pass its checks."""

    refused: Refused
    workspace: str = UNIDENTIFIED_WORKSPACE


class Edge:
    """Serve requests until the daemon drains."""

    def __init__(self, edge_ports: ports.EdgePorts) -> None:
        """Create an edge on the ports of the daemon."""
        self._ports = edge_ports
        self._attempts = Attempts(edge_ports)
        self.is_draining = False
        self.in_flight = 0

    async def serve_caller(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve a request of a caller, or issue a ticket at `TICKETS_PATH`."""
        request_id = uuid.uuid4().hex
        if request.path == TICKETS_PATH and request.method == 'POST':
            return self._issue_ticket(request, request_id)
        self.in_flight += 1
        try:
            return await self._serve(
                request, request_id, await self._admit(request, request_id)
            )
        finally:
            self.in_flight -= 1

    async def serve_deeper(
        self, request: web.BaseRequest, chain_id: str
    ) -> web.StreamResponse:
        """Serve a deeper call of a chain that is in flight at the upstream."""
        request_id = uuid.uuid4().hex
        parent = self._ports.chains.find(chain_id)
        if parent is None:
            refused = Refused(Refusal.CHAIN_UNKNOWN)
            return self._refusal(
                refused, UNIDENTIFIED_WORKSPACE, request_id, request
            )
        inherited = self._inherit(request, parent, request_id)
        self._deeper_started(parent, inherited)
        is_failed = True
        try:
            response = await self._serve(request, request_id, inherited)
            is_failed = _has_failed(response)
            return response
        finally:
            self._deeper_ended(parent, inherited, is_failed=is_failed)

    def _deeper_started(
        self, parent: RunningCall, inherited: Admitted | Denied
    ) -> None:
        now = time.monotonic()
        parent.downstream_started(now)
        if isinstance(inherited, Admitted):
            call = inherited.call
            self._ports.downstream_calls.started(
                call.service, call.request_id, now
            )

    def _deeper_ended(
        self,
        parent: RunningCall,
        inherited: Admitted | Denied,
        *,
        is_failed: bool,
    ) -> None:
        now = time.monotonic()
        parent.downstream_ended(now, failed=is_failed)
        if isinstance(inherited, Admitted):
            call = inherited.call
            self._ports.downstream_calls.ended(
                call.service, call.request_id, is_served=not is_failed, now=now
            )

    async def _admit(
        self, request: web.BaseRequest, request_id: str
    ) -> Admitted | Denied:
        now = time.monotonic()
        if self.is_draining:
            return Denied(Refused(Refusal.DRAINING, RETRY_AFTER_S))
        policy = self._ports.policies.current()
        if policy is None:
            return Denied(Refused(Refusal.NOT_READY, RETRY_AFTER_S))
        route = policy.routes.find(request.method, request.path)
        if route is None:
            return Denied(Refused(Refusal.NO_ROUTE))
        workspace = self._identify_workspace(request, route, now)
        if isinstance(workspace, Refusal):
            return Denied(Refused(workspace, _retry_after_s(workspace)))
        deadline = credentials.deadline_of(request, route.timeout_ms, now)
        if isinstance(deadline, Refusal):
            return Denied(Refused(deadline), workspace)
        call = _root_call(route, workspace, request_id, deadline)
        return await self._spend_token(route, call)

    async def _spend_token(self, route: Route, call: Call) -> Admitted | Denied:
        spent = await self._ports.rates.spend(
            call.workspace, call.request_id, call.deadline
        )
        match spent:
            case ports.RateRefused(retry_after_s):
                refused = Refused(Refusal.RATE, retry_after_s)
                return Denied(refused, call.workspace)
            case SpentToken():
                pool = RetryPool(route.retries)
                return Admitted(call, route, pool, spent)

    def _identify_workspace(
        self, request: web.BaseRequest, route: Route, now: float
    ) -> str | Refusal:
        if route.open:
            return OPEN_WORKSPACE
        return credentials.workspace_of(request, self._ports.keyring, now)

    def _inherit(
        self, request: web.BaseRequest, parent: RunningCall, request_id: str
    ) -> Admitted | Denied:
        workspace = parent.call.workspace
        policy = self._ports.policies.current()
        if policy is None:
            refused = Refused(Refusal.NOT_READY, RETRY_AFTER_S)
            return Denied(refused, workspace)
        route = policy.routes.find(request.method, request.path)
        if route is None or parent.call.depth + 1 >= MAX_DEPTH:
            return Denied(Refused(Refusal.NO_ROUTE), workspace)
        if not self._may_call(route.service, parent.call.priority):
            return Denied(Refused(Refusal.SHED, RETRY_AFTER_S), workspace)
        deadline = credentials.deadline_of(
            request, route.timeout_ms, time.monotonic()
        )
        if isinstance(deadline, Refusal):
            return Denied(Refused(deadline), workspace)
        call = Call(
            request_id=request_id,
            chain_id=parent.call.chain_id,
            workspace=parent.call.workspace,
            service=route.service,
            priority=parent.call.priority,
            deadline=min(
                deadline, parent.call.deadline - DEEPER_DEADLINE_MARGIN_S
            ),
            depth=parent.call.depth + 1,
            once=route.once,
            idempotent=route.idempotent,
        )
        return Admitted(call, route, parent.pool)

    def _may_call(self, service: str, priority: int) -> bool:
        limit = self._ports.gate_limit
        return limit is None or self._ports.downstream_calls.may_call(
            service, priority, limit(), time.monotonic()
        )

    async def _serve(
        self,
        request: web.BaseRequest,
        request_id: str,
        decision: Admitted | Denied,
    ) -> web.StreamResponse:
        match decision:
            case Denied(refused, workspace):
                return self._refusal(refused, workspace, request_id, request)
            case Admitted():
                return await self._run_and_count(request, decision)

    async def _run_and_count(
        self, request: web.BaseRequest, admitted: Admitted
    ) -> web.StreamResponse:
        call = admitted.call
        if admitted.spent is not None:
            self._ports.tally.admitted_by_workspace[call.workspace] += 1
        result = await self._claim_and_send(request, admitted)
        if isinstance(result, web.StreamResponse):
            self._ports.tally.answered_by_workspace[call.workspace] += 1
            return result
        if admitted.spent is not None:
            self._return_token(admitted.spent, result)
        return self._refusal(result, call.workspace, call.request_id, request)

    def _return_token(self, spent: SpentToken, refused: Refused) -> None:
        if refused.known_outcome is Outcome.NOT_RUN:
            self._ports.rates.give_back(spent)

    async def _claim_and_send(
        self, request: web.BaseRequest, admitted: Admitted
    ) -> CallResult:
        if not admitted.route.once:
            return await self._send_to_gates(request, admitted)
        key = credentials.idempotency_key_of(request)
        if isinstance(key, Refusal):
            return Refused(key)
        claimed = await self._ports.operations.claim(
            admitted.call.workspace, key, admitted.call.deadline
        )
        if isinstance(claimed, Refused):
            return claimed
        may_have_run = True
        try:
            result = await self._send_to_gates(request, admitted)
            may_have_run = _may_have_run(result)
            return result
        finally:
            self._ports.operations.settle(claimed, may_have_run=may_have_run)

    async def _send_to_gates(
        self, request: web.BaseRequest, admitted: Admitted
    ) -> CallResult:
        body = await _read_body_before(request, admitted.call.deadline)
        if body is None:
            return Refused(Refusal.NO_TIME, RETRY_AFTER_S)
        outgoing = sending.OutgoingRequest(
            method=request.method,
            path=request.raw_path,
            head=request_head(request.headers),
            body=body,
        )
        run = CallRun(admitted.call, request, outgoing, admitted.pool)
        try:
            return await self._attempts.run(run)
        except BrokenAnswer:
            abort(request)
            return web.Response()

    def _refusal(
        self,
        refused: Refused,
        workspace: str,
        request_id: str,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        jittered = refused
        if refused.retry_after_s > 0:
            jittered = Refused(
                refused.refusal,
                jittered_retry_after_s(refused.retry_after_s, self._ports.rng),
                refused.outcome,
            )
        self._ports.tally.refused(workspace, refused.refusal)
        _log.debug(
            'refused',
            kind=refused.refusal.value,
            outcome=refused.known_outcome.value,
            workspace=workspace,
            request=request_id,
        )
        response = refusal_response(
            jittered,
            _public_workspace(workspace),
            request_id,
            self._connection_headers(request),
        )
        return response

    def _connection_headers(
        self, request: web.BaseRequest
    ) -> MappingProxyType[str, str]:
        unread = request.can_read_body and not request.content.is_eof()
        return _CLOSE_HEADERS if self.is_draining or unread else _NO_HEADERS

    def _issue_ticket(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        workspace = credentials.workspace_of(
            request, self._ports.keyring, time.monotonic()
        )
        if isinstance(workspace, Refusal):
            refused = Refused(workspace, _retry_after_s(workspace))
            return self._refusal(
                refused, UNIDENTIFIED_WORKSPACE, request_id, request
            )
        ticket = self._ports.operations.issue_ticket()
        return web.json_response({'idempotency_key': ticket})


def _root_call(
    route: Route, workspace: str, request_id: str, deadline: float
) -> Call:
    return Call(
        request_id=request_id,
        chain_id=request_id,
        workspace=workspace,
        service=route.service,
        priority=route.priority,
        deadline=deadline,
        once=route.once,
        idempotent=route.idempotent,
    )


async def _read_body_before(
    request: web.BaseRequest, deadline: float
) -> RequestBody | None:
    if not request.can_read_body:
        # Reading no body does not wait, so no timer is needed.
        return await read_body(request)
    left_s = deadline - time.monotonic()
    try:
        async with asyncio.timeout(max(left_s, 0)):
            return await read_body(request)
    except TimeoutError:
        return None


def _has_failed(response: web.StreamResponse) -> bool:
    return (
        names.OUTCOME in response.headers
        or response.status >= _MIN_SERVER_ERROR_STATUS
    )


def _may_have_run(result: CallResult) -> bool:
    match result:
        case Refused():
            return result.known_outcome is not Outcome.NOT_RUN
        case web.StreamResponse():
            return True


def _public_workspace(workspace: str) -> str:
    return '' if workspace == UNIDENTIFIED_WORKSPACE else workspace


def _retry_after_s(refusal: Refusal) -> float:
    return RETRY_AFTER_S if refusal is Refusal.KEYS_STALE else 0
