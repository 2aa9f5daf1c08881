"""Serve the requests of callers, and the calls of upstreams, for a site.

`SiteEdge` finds the route, the workspace and the service of a request, checks
its rate, lets `RequestRunner` send it to gates, and answers before the
timeout of the route.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Final, TypeGuard

import structlog

from dragonflyknot.callers.forwardedrequest import ForwardedRequest
from dragonflyknot.callers.hedging import has_succeeded
from dragonflyknot.callers.requestrunner import RequestRunner
from dragonflyknot.callers.siteedgeports import SiteEdgePorts
from dragonflyknot.decisions import siteconfig
from dragonflyknot.decisions.origins import Origin
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange import links
from dragonflyknot.exchange.hopheaders import MS_PER_SECOND
from dragonflyknot.exchange.outcomes import Answered, OutgoingRequest
from dragonflyknot.exchange.platformrefusals import PlatformRefusal, refuse
from dragonflyknot.exchange.serverrequest import Request, relay

RETRY_AFTER_S: Final = 0.3
# Usual time from the first refusal of a host that stops until it is back.
RESTART_S: Final = 1.0
# Part of the remaining time of a request that Retry-After may take up.
MAX_RETRY_AFTER_SHARE: Final = 1 / 3

_log = structlog.get_logger(__name__)

RequestResult = Answered | PlatformRefusal


@dataclass(frozen=True, slots=True)
class _Owner:
    """Identify the workspace of a request and the rate that limits it.

    A call of an upstream is limited by no rate; `name` is then the workspace
    of its chain.
    """

    name: str = ''
    workspace: siteconfig.SiteWorkspace | None = None
    is_call: bool = False
    chain_priority: int | None = None
    is_retry: bool = False

    @property
    def has_running_parent(self) -> bool:
        """Tell whether the upstream of this host runs the request's parent."""
        return self.chain_priority is not None


class SiteEdge:
    """Serve requests on the listener for callers."""

    def __init__(self, ports: SiteEdgePorts) -> None:
        """Create an edge on the ports of the daemon."""
        self._ports = ports
        self._runner = RequestRunner(ports)
        self._removed_headers = ports.dialect.stripped_headers()
        self._request_id_header = ports.dialect.request_id.lower()
        self._deadline_header = ports.dialect.deadline_ms.lower()
        self._key_header = ports.dialect.key.lower()
        self._splitter = siteconfig.Splitter()
        self._timeouts: set[_RequestTimeout] = set()
        self.in_flight = 0
        self._ends_at: float | None = None
        self._is_closed = False

    @property
    def is_refusing(self) -> bool:
        """Return whether callers are refused as the host stops."""
        return self._ends_at is not None

    def stop_admitting(self, ends_at: float) -> None:
        """Refuse callers; admit calls that end by `ends_at` (monotonic).

        Requests that the upstream still runs need their calls to end well.
        """
        self._ends_at = ends_at

    def close(self) -> None:
        """Refuse everything; answer what is pending as if it timed out."""
        self._is_closed = True
        for timeout in tuple(self._timeouts):
            timeout.expire()

    async def serve(self, request: Request) -> None:
        """Answer a request before the timeout of its route."""
        self.in_flight += 1
        began = time.monotonic()
        try:
            await self._serve(request)
        finally:
            self.in_flight -= 1
            self._ports.counts.record_latency(time.monotonic() - began)

    async def _serve(self, request: Request) -> None:
        admitted = self._admit(request)
        if isinstance(admitted, PlatformRefusal):
            self._refuse(request, admitted)
            return
        task = request.task
        timeout = _RequestTimeout(task)
        self._timeouts.add(timeout)
        left_s = admitted.deadline - time.monotonic()
        timer = task.get_loop().call_later(max(0, left_s), timeout.expire)
        try:
            result = await self._forward(admitted)
        except asyncio.CancelledError:
            if not timeout.has_expired:
                self._ports.counts.cancelled += 1
                raise
            task.uncancel()
            result = self._timeout_refusal(admitted)
        finally:
            timer.cancel()
            self._timeouts.discard(timeout)
        self._update_throttle(admitted, result)
        await self._answer(admitted, result)

    def _update_throttle(
        self, forwarded: ForwardedRequest, result: RequestResult
    ) -> None:
        """Tell the throttle how a request ended that ran or may have run.

        A request that a gate refused has cost nothing at deeper services.
        """
        if forwarded.is_call or not (forwarded.runs or _is_answer(result)):
            return
        self._ports.throttle.ended(
            forwarded.route.name,
            time.monotonic(),
            is_served=_is_answer(result) and has_succeeded(result),
        )

    def _admit(self, request: Request) -> ForwardedRequest | PlatformRefusal:
        request_id = request.head.get(self._request_id_header) or b''
        request_id_text = request_id.decode('latin-1')
        configuration = self._ports.site.configuration
        if configuration is None or not self._may_serve(request):
            return self._refusal_at_once(request_id_text)
        host = _host(request.head.get(b'host') or b'')
        route = self._ports.site.routes.find(host, _path(request.target))
        if route is None:
            return self._refusal_if_current(Refusal.NO_ROUTE, request_id_text)
        owner = self._owner_of(request, route, configuration)
        if owner is None:
            return self._refusal_if_current(
                Refusal.KEY_UNKNOWN, request_id_text
            )
        left_s = min(route.timeout_s, self._caller_left_s(request))
        if not self._may_end(owner, request.arrived_at + left_s):
            return self._draining_refusal(request_id_text)
        if not self._is_within_rate(owner):
            retry_after_s = self._retry_after_s(left_s)
            return PlatformRefusal(
                Refusal.RATE,
                request_id_text,
                retry_after_s,
                owner.name,
                route.name,
            )
        if not owner.is_call and not self._may_start(route):
            self._return_token(owner.name)
            retry_after_s = self._retry_after_s(left_s)
            return PlatformRefusal(
                Refusal.SHED,
                request_id_text,
                retry_after_s,
                owner.name,
                route.name,
            )
        return ForwardedRequest(
            request=request,
            request_id=request_id_text,
            route=route,
            service=self._splitter.choose(route),
            workspace=owner.name,
            priority=_priority(owner, route),
            is_call=owner.is_call,
            is_retry=owner.is_retry,
            deadline=request.arrived_at + left_s,
            aim_at=request.arrived_at + min(route.target_latency_s, left_s),
            outgoing=OutgoingRequest(
                request.method,
                request.target,
                links.end_to_end_lines(
                    request.lines, request.head, self._removed_headers
                ),
                b'',
                request_id,
            ),
        )

    def _may_serve(self, request: Request) -> bool:
        return request.has_room and not self._is_closed

    def _refusal_at_once(self, request_id: str) -> PlatformRefusal:
        """Return why this host serves no request at all at present."""
        if self._is_closed:
            return self._draining_refusal(request_id)
        is_configured = self._ports.site.configuration is not None
        refusal = Refusal.SHED if is_configured else Refusal.NOT_READY
        return PlatformRefusal(refusal, request_id, RETRY_AFTER_S)

    def _owner_of(
        self,
        request: Request,
        route: siteconfig.SiteRoute,
        configuration: siteconfig.SiteConfiguration,
    ) -> _Owner | None:
        key = request.head.get(self._key_header)
        is_open = route.open or not configuration.needs_keys
        if key is None:
            request_id = request.head.get(self._request_id_header) or b''
            origin = self._ports.origins.origin_of(request_id)
            if origin is not None:
                return _owner_of_call(origin)
            # Where keys are required, only the upstream sends none.
            return _Owner(is_call=not is_open)
        if is_open:
            return _Owner()
        name = configuration.workspace_by_key.get(key.decode('latin-1'))
        if name is None:
            return None
        return _Owner(name, configuration.workspaces_by_name[name])

    def _is_within_rate(self, owner: _Owner) -> bool:
        workspace = owner.workspace
        if workspace is None:
            return True
        now = time.monotonic()
        return self._ports.rates.admit(workspace.name, now)

    def _may_start(self, route: siteconfig.SiteRoute) -> bool:
        ports = self._ports
        now = time.monotonic()
        return ports.throttle.admit(route.name, route.priority, now, ports.rng)

    def _return_token(self, workspace: str) -> None:
        if workspace:
            self._ports.rates.give_back(workspace, time.monotonic())

    def _may_end(self, owner: _Owner, deadline: float) -> bool:
        """Return whether a request may end before this host does."""
        if self._ends_at is None:
            return True
        return owner.has_running_parent and deadline <= self._ends_at

    def _draining_refusal(self, request_id: str) -> PlatformRefusal:
        """Ask a caller to come back once this host has been restarted."""
        retry_after_s = RESTART_S * (1 + self._ports.rng.random() / 2)
        return PlatformRefusal(Refusal.DRAINING, request_id, retry_after_s)

    def _refusal_if_current(
        self, refusal: Refusal, request_id: str
    ) -> PlatformRefusal:
        if self._ports.site.is_current:
            return PlatformRefusal(refusal, request_id)
        # A newer configuration, not yet received, may allow the request.
        return PlatformRefusal(Refusal.NOT_READY, request_id, RETRY_AFTER_S)

    def _caller_left_s(self, request: Request) -> float:
        text = request.head.get(self._deadline_header)
        try:
            return int(text or b'') / MS_PER_SECOND
        except (ValueError, OverflowError):
            return float('inf')

    async def _forward(self, forwarded: ForwardedRequest) -> RequestResult:
        result = await self._runner.run(forwarded)
        if isinstance(result, Answered):
            return result
        return self._refusal(forwarded, result)

    def _refusal(
        self, forwarded: ForwardedRequest, refusal: Refusal
    ) -> PlatformRefusal:
        return PlatformRefusal(
            refusal,
            forwarded.request_id,
            self._retry_after_s(forwarded.deadline - time.monotonic()),
            forwarded.workspace,
            forwarded.route.name,
            forwarded.sends,
            forwarded.last_host,
            forwarded.describe_attempts(),
        )

    def _timeout_refusal(self, forwarded: ForwardedRequest) -> PlatformRefusal:
        if forwarded.sends:
            forwarded.runs += 1
            return self._refusal(forwarded, Refusal.UPSTREAM_SILENT)
        return self._refusal(forwarded, Refusal.NO_TIME)

    def _retry_after_s(self, left_s: float) -> float:
        max_s = max(0, left_s) * MAX_RETRY_AFTER_SHARE
        min_s = min(RETRY_AFTER_S, max_s)
        jitter = self._ports.rng.random()
        return min_s + (max_s - min_s) * jitter

    def _refuse(self, request: Request, refused: PlatformRefusal) -> None:
        refuse(request, refused, self._ports.dialect)
        self._ports.counts.refused(refused)

    async def _answer(
        self, forwarded: ForwardedRequest, result: RequestResult
    ) -> None:
        if isinstance(result, PlatformRefusal):
            if not forwarded.runs and not forwarded.is_call:
                self._return_token(forwarded.workspace)
            self._refuse(forwarded.request, result)
            return
        self._ports.counts.answered(result.status)
        if isinstance(result.body, bytes):
            await relay(forwarded.request, result)
        else:
            await self._relay_until_timeout(forwarded, result)

    async def _relay_until_timeout(
        self, forwarded: ForwardedRequest, answered: Answered
    ) -> None:
        """Relay a streamed answer; abort it at the timeout of the request."""
        try:
            async with asyncio.timeout(forwarded.deadline - time.monotonic()):
                await relay(forwarded.request, answered)
        except TimeoutError:
            _log.info(
                'answer_timed_out',
                request=forwarded.request_id,
                route=forwarded.route.name,
                last_host=forwarded.last_host,
            )
            forwarded.request.link.abort()


def _owner_of_call(origin: Origin) -> _Owner:
    return _Owner(
        origin.workspace,
        is_call=True,
        chain_priority=origin.priority,
        is_retry=origin.is_retry,
    )


def _priority(owner: _Owner, route: siteconfig.SiteRoute) -> int:
    own_priority = siteconfig.effective_priority(route, owner.workspace)
    if not owner.is_call:
        return own_priority
    chain = owner.chain_priority
    return siteconfig.call_priority(own_priority if chain is None else chain)


class _RequestTimeout:
    """Cancel the task of a request at its timeout, and remember that."""

    __slots__ = ('_task', 'has_expired')

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task
        self.has_expired = False

    def expire(self) -> None:
        if not self.has_expired:
            self.has_expired = True
            self._task.cancel()


def _is_answer(result: RequestResult) -> TypeGuard[Answered]:
    return isinstance(result, Answered)


def _host(text: bytes) -> str:
    name, _colon, _port = text.partition(b':')
    return name.decode('latin-1').lower()


def _path(target: bytes) -> str:
    return target.partition(b'?')[0].decode('utf-8', 'surrogateescape')
