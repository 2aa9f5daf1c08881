"""Forward attempts to the gates of other hosts, and take theirs.

The hop is HTTP/1.1 on kept links: the request as it will reach the
upstream, with one header that describes the attempt. The answer carries the
load of the gate, and a second header where the gate promises that nothing
ran.
"""

import time
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import structlog
from result import Err, Ok

from dragonflyknot.decisions.balancer import Balancer, Candidate, Load
from dragonflyknot.decisions.refusals import Refusal, rule_of
from dragonflyknot.exchange import dialect, hopheaders, links
from dragonflyknot.exchange.clientlink import (
    ClientLink,
    LinkLost,
    LinkPool,
    Response,
    read_body,
)
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
    OutgoingRequest,
)
from dragonflyknot.exchange.serverlink import Request, relay

LINK_IDLE_S: Final = 30.0
SILENT_MS: Final = 1500
CONNECT_S: Final = 0.3
BAD_GATEWAY: Final = 502
BAD_REQUEST: Final = 400
_JSON: Final = b'Content-Type: application/json\r\n'
_HEADERS_OF_HOP: Final = frozenset(
    (dialect.HOP, dialect.HOP_LOAD, dialect.HOP_REFUSAL, dialect.HOP_BROKEN)
)
_log = structlog.get_logger(__name__)

ControlHandler = Callable[[str, bytes], Awaitable[bytes | None]]


class LocalGate(Protocol):
    """Run attempts at the upstream of this host."""

    async def run(
        self, hop: hopheaders.Hop, outgoing: OutgoingRequest
    ) -> Outcome:
        """Run an attempt."""

    def load(self) -> Load:
        """Return the load to tell other daemons."""


class Links:
    """Keep the links to peers by address; close them at the end."""

    def __init__(self) -> None:
        """Start without links."""
        self._pools_by_address: dict[str, LinkPool] = {}

    def __enter__(self) -> 'Links':
        """Start without links."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Close every link."""
        for pool in self._pools_by_address.values():
            pool.close()

    def to(self, address: str) -> LinkPool:
        """Return the links to an address."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            host, _colon, port = address.rpartition(':')
            pool = LinkPool(
                host, int(port), idle_s=LINK_IDLE_S, user_timeout_ms=SILENT_MS
            )
            self._pools_by_address[address] = pool
        return pool

    def trim(self) -> None:
        """Close links that were not used for long."""
        for pool in self._pools_by_address.values():
            pool.trim()

    async def ask(self, address: str, path: str, content: bytes) -> bytes:
        """Post a control message. Raise LinkLost where no answer comes."""
        pool = self.to(address)
        link = await pool.acquire(CONNECT_S)
        try:
            link.send(
                b'POST %b HTTP/1.1\r\nHost: peer\r\n' % path.encode()
                + b'Content-Length: %d\r\n\r\n%b' % (len(content), content),
                is_head=False,
            )
            answer = await link.receive()
            body = await read_body(answer)
        except links.BodyBroken as error:
            link.abort()
            raise LinkLost(was_sent=True) from error
        except BaseException:
            link.abort()
            raise
        pool.release(link)
        if answer.status != 200 or not isinstance(body, bytes):
            raise LinkLost(was_sent=True)
        return body


class SiteSender:
    """Send attempts to the gate that was chosen, here or elsewhere."""

    def __init__(
        self,
        host: str,
        gate: LocalGate,
        peers: Links,
        balancer: Balancer,
        heard: Callable[[int], None],
    ) -> None:
        """Keep the parts; `heard` takes the versions that gates tell."""
        self._host = host
        self._gate = gate
        self._peers = peers
        self._balancer = balancer
        self._heard = heard

    async def send(
        self,
        candidate: Candidate,
        hop: hopheaders.Hop,
        outgoing: OutgoingRequest,
    ) -> Outcome:
        """Send an attempt to the gate of a host."""
        if candidate.place.host == self._host:
            outcome = await self._gate.run(hop, outgoing)
            self._balancer.record_load(
                candidate, self._gate.load(), time.monotonic()
            )
            return outcome
        pool = self._peers.to(candidate.place.address)
        try:
            link = await pool.acquire(CONNECT_S)
        except LinkLost:
            return NotRun(Refusal.NO_UPSTREAM)
        try:
            return await self._over(link, pool, candidate, hop, outgoing)
        except LinkLost as lost:
            link.abort()
            if lost.was_sent:
                return MayHaveRun(Refusal.UPSTREAM_BROKE)
            return NotRun(Refusal.NO_UPSTREAM)
        except links.BodyBroken:
            link.abort()
            return MayHaveRun(Refusal.UPSTREAM_BROKE)
        except BaseException:
            link.abort()
            raise

    async def _over(
        self,
        link: ClientLink,
        pool: LinkPool,
        candidate: Candidate,
        hop: hopheaders.Hop,
        outgoing: OutgoingRequest,
    ) -> Outcome:
        is_head = outgoing.method == 'HEAD'
        head = _head(hop, outgoing)
        if isinstance(outgoing.body, bytes):
            link.send(head + outgoing.body, is_head=is_head)
        else:
            link.send(head, is_head=is_head)
            await link.send_body(outgoing.body, is_chunked=True)
        answer = await link.receive()
        self._learn(candidate, answer)
        body = await read_body(answer)
        if not isinstance(body, bytes):
            return Answered(
                answer.status,
                links.end_to_end_lines(
                    answer.lines, answer.head, _HEADERS_OF_HOP
                ),
                body,
                answer.length,
                lambda: pool.release(link),
            )
        pool.release(link)
        return _outcome(answer, body)

    def _learn(self, candidate: Candidate, answer: Response) -> None:
        report = hopheaders.decode_gate_report(
            answer.head.get(dialect.HOP_LOAD)
        )
        if report is not None:
            self._balancer.record_load(candidate, report.load, time.monotonic())
            self._heard(report.version)


class SiteReceiver:
    """Take the attempts and control messages of other hosts."""

    def __init__(
        self,
        gate: LocalGate,
        control: ControlHandler,
        request_id: bytes,
        version: Callable[[], int],
        heard: Callable[[int], None],
    ) -> None:
        """Keep the gate and the handler of control messages."""
        self._gate = gate
        self._control = control
        self._id = request_id.lower()
        self._version = version
        self._heard = heard

    async def serve(self, request: Request) -> None:
        """Serve an attempt or a control message."""
        text = request.head.get(dialect.HOP)
        if text is None:
            await self._serve_control(request)
            return
        match hopheaders.decode_hop(text):
            case Ok(hop):
                await self._serve_attempt(request, hop)
            case Err(fault):
                _log.warning('hop_malformed', fault=fault)
                request.respond(BAD_REQUEST, (), fault.encode())

    async def _serve_control(self, request: Request) -> None:
        body = await request.body()
        content = body if isinstance(body, bytes) else b''
        reply = await self._control(request.target.decode('latin-1'), content)
        if reply is None:
            request.respond(404, ())
            return
        request.respond(200, (_JSON,), reply)

    async def _serve_attempt(
        self, request: Request, hop: hopheaders.Hop
    ) -> None:
        self._heard(hop.version)
        try:
            body = await request.body()
        except links.BodyBroken:
            request.link.abort()
            request.is_answered = True
            return
        outgoing = OutgoingRequest(
            request.method,
            request.target,
            links.end_to_end_lines(
                request.lines, request.head, _HEADERS_OF_HOP
            ),
            body,
            request.head.get(self._id) or b'',
        )
        await self._answer(request, await self._gate.run(hop, outgoing))

    async def _answer(self, request: Request, outcome: Outcome) -> None:
        report = hopheaders.GateReport(self._gate.load(), self._version())
        told = b'Dragonflyknot-Load: %b\r\n' % hopheaders.encode_gate_report(
            report
        )
        match outcome:
            case Answered():
                await relay(request, outcome, told)
            case NotRun(refusal, reached_upstream):
                promise = hopheaders.encode_refusal(
                    refusal, reached_upstream=reached_upstream
                )
                marked = b'Dragonflyknot-Refusal: %b\r\n' % promise
                request.respond(rule_of(refusal).status, (told, marked))
            case MayHaveRun(refusal):
                marked = b'Dragonflyknot-Broken: %b\r\n' % (
                    refusal.value.encode()
                )
                request.respond(BAD_GATEWAY, (told, marked))


def _head(hop: hopheaders.Hop, outgoing: OutgoingRequest) -> bytes:
    return b''.join(
        (
            b'%b %b HTTP/1.1\r\n' % (outgoing.method.encode(), outgoing.target),
            *outgoing.lines,
            b'Dragonflyknot-Hop: %b\r\n' % hopheaders.encode_hop(hop),
            outgoing.framing(),
        )
    )


def _outcome(answer: Response, body: bytes) -> Outcome:
    promise = answer.head.get(dialect.HOP_REFUSAL)
    if promise is not None:
        refusal, reached_upstream = hopheaders.decode_refusal(promise)
        return NotRun(refusal, reached_upstream)
    if answer.head.get(dialect.HOP_BROKEN) is not None:
        return MayHaveRun(Refusal.UPSTREAM_BROKE)
    if answer.head.get(dialect.HOP_LOAD) is None:
        return MayHaveRun(Refusal.UPSTREAM_BROKE)
    return Answered(
        answer.status,
        links.end_to_end_lines(answer.lines, answer.head, _HEADERS_OF_HOP),
        body,
        len(body),
    )
