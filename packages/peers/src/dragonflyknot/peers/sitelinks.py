"""Forward attempts to the gates of other hosts and accept theirs.

Daemons use HTTP/1.1 over persistent connections. A forwarded request is the
request for the upstream plus one header that describes the attempt. The
answer has a header with the load of the gate, and a second one if the gate
guarantees that the upstream did not run the request.
"""

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from result import Err, Ok

from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.candidates import Candidate, Load
from dragonflyknot.decisions.refusals import Refusal, rule_of
from dragonflyknot.exchange import dialect, hopheaders, links
from dragonflyknot.exchange.clientlink import (
    ClientLink,
    LinkLost,
    Response,
    read_body,
)
from dragonflyknot.exchange.linkpool import LinkPool
from dragonflyknot.exchange.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
    OutgoingRequest,
)
from dragonflyknot.exchange.serverrequest import Request, relay
from dragonflyknot.exchange.telemetry import FaultLog

LINK_IDLE_TIMEOUT_S: Final = 30.0
TCP_USER_TIMEOUT_MS: Final = 1500
CONNECT_TIMEOUT_S: Final = 0.3
REQUESTS: Final = 'requests'
BAD_GATEWAY: Final = 502
SERVICE_UNAVAILABLE: Final = 503
BAD_REQUEST: Final = 400
_JSON_HEADER: Final = b'Content-Type: application/json\r\n'
_faults = FaultLog()

ControlHandler = Callable[[str, bytes], Awaitable[bytes | None]]


class LocalGate(Protocol):
    """Runs attempts at the upstream of this host."""

    async def run(
        self, hop: hopheaders.Hop, outgoing: OutgoingRequest
    ) -> Outcome:
        """Run an attempt and return its outcome."""

    def load(self) -> Load:
        """Return the load to report to other daemons."""


class PeerLinks:
    """Connection pools to peers by address, as a context manager.

    `bytes_by_kind` counts what was sent and received, by the path of a control
    message or as `REQUESTS`; streamed request bodies are not counted.
    """

    def __init__(self) -> None:
        """Create the collection without connections."""
        self._pools_by_address: dict[str, LinkPool] = {}
        self.bytes_by_kind: Counter[str] = Counter()

    def __enter__(self) -> 'PeerLinks':
        """Return the collection; connections open on first use."""
        return self

    def __exit__(self, *_details: object) -> None:
        """Close every connection."""
        for pool in self._pools_by_address.values():
            pool.close()

    def to(self, address: str) -> LinkPool:
        """Return the connection pool of an address (host:port)."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            host, _colon, port = address.rpartition(':')
            pool = LinkPool(
                host,
                int(port),
                idle_s=LINK_IDLE_TIMEOUT_S,
                user_timeout_ms=TCP_USER_TIMEOUT_MS,
            )
            self._pools_by_address[address] = pool
        return pool

    def trim(self) -> None:
        """Close connections that are idle past their timeout."""
        for pool in self._pools_by_address.values():
            pool.trim()

    async def ask(self, address: str, path: str, content: bytes) -> bytes:
        """Post a control message. Raise LinkLost without a valid answer."""
        pool = self.to(address)
        link = await pool.acquire(CONNECT_TIMEOUT_S)
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
        self.bytes_by_kind[path] += len(content) + (answer.length or 0)
        if answer.status != 200 or not isinstance(body, bytes):
            raise LinkLost(was_sent=True)
        return body


class SiteSender:
    """Sends attempts to the chosen gate, local or remote."""

    def __init__(
        self,
        host: str,
        gate: LocalGate,
        peers: PeerLinks,
        balancer: Balancer,
        on_version: Callable[[int, str], None],
    ) -> None:
        """Keep the parts.

        `on_version` is called with each configuration version that a gate
        reports, and with the address of the gate.
        """
        self._host = host
        self._gate = gate
        self._peers = peers
        self._balancer = balancer
        self._on_version = on_version

    async def send(
        self,
        candidate: Candidate,
        hop: hopheaders.Hop,
        outgoing: OutgoingRequest,
    ) -> Outcome:
        """Send an attempt to the gate of a candidate host."""
        if candidate.place.host == self._host:
            outcome = await self._gate.run(hop, outgoing)
            self._balancer.record_load(
                candidate, self._gate.load(), time.monotonic()
            )
            return outcome
        pool = self._peers.to(candidate.place.address)
        try:
            link = await pool.acquire(CONNECT_TIMEOUT_S)
        except LinkLost:
            return NotRun(Refusal.NO_UPSTREAM)
        try:
            return await self._send_over(link, pool, candidate, hop, outgoing)
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

    async def _send_over(
        self,
        link: ClientLink,
        pool: LinkPool,
        candidate: Candidate,
        hop: hopheaders.Hop,
        outgoing: OutgoingRequest,
    ) -> Outcome:
        is_head = outgoing.method == 'HEAD'
        content = _encode_head(hop, outgoing)
        if isinstance(outgoing.body, bytes):
            content += outgoing.body
            link.send(content, is_head=is_head)
        else:
            link.send(content, is_head=is_head)
            await link.send_body(outgoing.body, is_chunked=True)
        answer = await link.receive()
        exchanged = len(content) + (answer.length or 0)
        self._peers.bytes_by_kind[REQUESTS] += exchanged
        self._record_report(candidate, answer)
        body = await read_body(answer)
        if not isinstance(body, bytes):
            return Answered(
                answer.status,
                links.end_to_end_lines(
                    answer.lines, answer.head, dialect.HOP_HEADERS
                ),
                body,
                answer.length,
                lambda: pool.release(link),
            )
        pool.release(link)
        return _decode_outcome(answer, body)

    def _record_report(self, candidate: Candidate, answer: Response) -> None:
        report = hopheaders.decode_gate_report(
            answer.head.get(dialect.HOP_LOAD)
        )
        if report is None:
            return
        now = time.monotonic()
        if report.is_from(candidate.place.host):
            self._balancer.record_load(candidate, report.load, now)
        else:
            self._balancer.record_replaced(candidate, now)
        self._on_version(report.version, candidate.place.address)


class SiteReceiver:
    """Serves attempts and control messages of other hosts."""

    def __init__(
        self,
        host: str,
        gate: LocalGate,
        control: ControlHandler,
        request_id: bytes,
        version: Callable[[], int],
        on_version: Callable[[int], None],
    ) -> None:
        """Use the local gate and a handler of control messages."""
        self._host = host
        self._gate = gate
        self._control = control
        self._request_id_header = request_id.lower()
        self._version = version
        self._on_version = on_version

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
                _faults.write('hop_malformed', fault=fault)
                request.respond(BAD_REQUEST, (), fault.encode())

    async def _serve_control(self, request: Request) -> None:
        try:
            body = await request.body()
        except links.NoRoomForBody:
            request.respond(SERVICE_UNAVAILABLE, ())
            return
        content = body if isinstance(body, bytes) else b''
        response = await self._control(
            request.target.decode('latin-1'), content
        )
        if response is None:
            request.respond(404, ())
            return
        request.respond(200, (_JSON_HEADER,), response)

    async def _serve_attempt(
        self, request: Request, hop: hopheaders.Hop
    ) -> None:
        self._on_version(hop.version)
        if not request.has_room:
            await self._answer(request, NotRun(Refusal.SHED))
            return
        try:
            body = await request.body()
        except links.NoRoomForBody:
            await self._answer(request, NotRun(Refusal.SHED))
            return
        except links.BodyBroken:
            request.link.abort()
            request.is_answered = True
            return
        outgoing = OutgoingRequest(
            request.method,
            request.target,
            links.end_to_end_lines(
                request.lines, request.head, dialect.HOP_HEADERS
            ),
            body,
            request.head.get(self._request_id_header) or b'',
        )
        await self._answer(request, await self._gate.run(hop, outgoing))

    async def _answer(self, request: Request, outcome: Outcome) -> None:
        report = hopheaders.GateReport(
            self._gate.load(), self._version(), self._host
        )
        load_line = (
            b'Dragonflyknot-Load: %b\r\n'
            % hopheaders.encode_gate_report(report)
        )
        match outcome:
            case Answered():
                await relay(request, outcome, load_line)
            case NotRun(refusal, reached_upstream):
                refusal_value = hopheaders.encode_refusal(
                    refusal, reached_upstream=reached_upstream
                )
                refusal_line = b'Dragonflyknot-Refusal: %b\r\n' % refusal_value
                request.respond(
                    rule_of(refusal).status, (load_line, refusal_line)
                )
            case MayHaveRun(refusal):
                broken_line = b'Dragonflyknot-Broken: %b\r\n' % (
                    refusal.value.encode()
                )
                request.respond(BAD_GATEWAY, (load_line, broken_line))


def _encode_head(hop: hopheaders.Hop, outgoing: OutgoingRequest) -> bytes:
    return b''.join(
        (
            b'%b %b HTTP/1.1\r\n' % (outgoing.method.encode(), outgoing.target),
            *outgoing.lines,
            b'Dragonflyknot-Hop: %b\r\n' % hopheaders.encode_hop(hop),
            outgoing.framing(),
        )
    )


def _decode_outcome(answer: Response, body: bytes) -> Outcome:
    refusal_value = answer.head.get(dialect.HOP_REFUSAL)
    if refusal_value is not None:
        refusal, reached_upstream = hopheaders.decode_refusal(refusal_value)
        return NotRun(refusal, reached_upstream)
    if answer.head.get(dialect.HOP_BROKEN) is not None:
        return MayHaveRun(Refusal.UPSTREAM_BROKE)
    if answer.head.get(dialect.HOP_LOAD) is None:
        return MayHaveRun(Refusal.UPSTREAM_BROKE)
    return Answered(
        answer.status,
        links.end_to_end_lines(answer.lines, answer.head, dialect.HOP_HEADERS),
        body,
        len(body),
    )
