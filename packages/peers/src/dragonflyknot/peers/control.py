"""Serve the control calls of other daemons over gRPC.

The daemon passes the handlers. This module checks the fleet secret and
validates every message; an unauthenticated peer or an invalid message gets a
specific gRPC status and does not reach the handlers.
"""

import hmac
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import structlog
from google.protobuf.message import DecodeError, Message
from grpclib import GRPCError, Status
from grpclib.events import RecvRequest, listen
from grpclib.server import Server, Stream

from dragonflyknot.decisions import grants, ledger, members, tickets
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.peers import controlwire, gossipwire
from dragonflyknot.peers.controlwire import KeysReport
from dragonflyknot.peers.validation import BadMessageError, checked_name
from dragonflyknot.peers.wire import control_pb2 as wire
from dragonflyknot.peers.wire.control_grpc import ControlBase

SECRET_METADATA = 'dragonflyknot-secret'

_log = structlog.get_logger(__name__)

_Request = TypeVar('_Request', bound=Message)
_Answer = TypeVar('_Answer', bound=Message)


class ControlHandlers(Protocol):
    """Handle the control calls of peers."""

    async def gossip(self, message: members.Gossip) -> members.Gossip:
        """Apply the gossip of a peer and return this daemon's."""

    async def resolve(
        self, attempt_id: str, incarnation: int
    ) -> ledger.Resolved:
        """Return the state of an attempt at this gate."""

    async def grant(self, request: grants.GrantRequest) -> grants.GrantAnswer:
        """Answer a request for rate limit tokens."""

    async def content(self, digest: str) -> bytes | None:
        """Return a manifest or section, or None if it is not stored here."""

    async def keys(self, since: int) -> KeysReport:
        """Return the key changes after a sequence number."""

    async def spend(self, spending: tickets.Spending) -> tickets.TicketAnswer:
        """Spend a ticket of which this daemon is the guard."""

    async def release(self, spending: tickets.Spending) -> None:
        """Release a ticket whose request did not run."""

    async def withdraw(self, key_hash: str) -> None:
        """Apply an announced key withdrawal."""

    async def witness(self, holder: str) -> AnswerWitness:
        """Answer a shard holder that asks for a short lease."""

    async def nudge(self) -> None:
        """Handle a notice that the lease rows have changed."""


class ControlServer:
    """The gRPC server of a daemon, as a context manager."""

    def __init__(
        self, handlers: ControlHandlers, host: str, port: int, secret: str
    ) -> None:
        """Prepare to listen on an IP address and port."""
        self._handlers = handlers
        self._host = host
        self._port = port
        self._secret = secret

    async def __aenter__(self) -> 'ControlServer':
        """Start listening; raise `OSError` if the port is in use."""
        self._server = Server([_Service(self._handlers)])
        listen(self._server, RecvRequest, self._authenticate)
        await self._server.start(self._host, self._port)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop listening and cancel calls in progress."""
        self._server.close()
        await self._server.wait_closed()

    async def _authenticate(self, event: RecvRequest) -> None:
        secret = event.metadata.get(SECRET_METADATA, '')
        if not isinstance(secret, str):
            secret = ''
        if not hmac.compare_digest(secret.encode(), self._secret.encode()):
            raise GRPCError(
                Status.UNAUTHENTICATED,
                'The fleet secret or the environment differs; give all daemons'
                ' of a fleet the same.',
            )


class _Service(ControlBase):
    """Decode each call for its handler and encode the answer."""

    def __init__(self, handlers: ControlHandlers) -> None:
        self._handlers = handlers

    async def Gossip(
        self, stream: Stream[wire.GossipMessage, wire.GossipMessage]
    ) -> None:
        await _handle_call(stream, self._gossip)

    async def Resolve(
        self, stream: Stream[wire.ResolveRequest, wire.ResolveAnswer]
    ) -> None:
        await _handle_call(stream, self._resolve)

    async def AskGrant(
        self, stream: Stream[wire.GrantRequest, wire.GrantAnswer]
    ) -> None:
        await _handle_call(stream, self._grant)

    async def FetchObject(
        self, stream: Stream[wire.ObjectRequest, wire.ObjectAnswer]
    ) -> None:
        await _handle_call(stream, self._content)

    async def FetchKeys(
        self, stream: Stream[wire.KeysRequest, wire.KeysAnswer]
    ) -> None:
        await _handle_call(stream, self._keys)

    async def SpendTicket(
        self, stream: Stream[wire.TicketRequest, wire.TicketAnswer]
    ) -> None:
        await _handle_call(stream, self._spend)

    async def AnnounceWithdrawal(
        self, stream: Stream[wire.WithdrawalNotice, wire.WithdrawalHeard]
    ) -> None:
        await _handle_call(stream, self._withdraw)

    async def AskWitness(
        self, stream: Stream[wire.WitnessRequest, wire.WitnessAnswer]
    ) -> None:
        await _handle_call(stream, self._witness)

    async def NudgeLeases(
        self, stream: Stream[wire.LeaseNudge, wire.LeaseNudged]
    ) -> None:
        await _handle_call(stream, self._nudge)

    async def _gossip(self, request: wire.GossipMessage) -> wire.GossipMessage:
        message = gossipwire.decode_gossip(request)
        return gossipwire.encode_gossip(await self._handlers.gossip(message))

    async def _resolve(
        self, request: wire.ResolveRequest
    ) -> wire.ResolveAnswer:
        attempt_id = checked_name('attempt_id', request.attempt_id)
        resolved = await self._handlers.resolve(attempt_id, request.incarnation)
        return controlwire.encode_resolved(resolved)

    async def _grant(self, request: wire.GrantRequest) -> wire.GrantAnswer:
        grant_request = controlwire.decode_grant_request(request)
        answer = await self._handlers.grant(grant_request)
        return controlwire.encode_grant_answer(answer)

    async def _content(self, request: wire.ObjectRequest) -> wire.ObjectAnswer:
        digest = controlwire.checked_digest(request.digest)
        content = await self._handlers.content(digest)
        if content is None:
            raise GRPCError(
                Status.NOT_FOUND, 'It is not held here; ask another daemon.'
            )
        return wire.ObjectAnswer(content=content)

    async def _keys(self, request: wire.KeysRequest) -> wire.KeysAnswer:
        return controlwire.encode_keys(await self._handlers.keys(request.since))

    async def _spend(self, request: wire.TicketRequest) -> wire.TicketAnswer:
        spending = controlwire.decode_spending(request)
        if request.release:
            await self._handlers.release(spending)
            return wire.TicketAnswer()
        answer = await self._handlers.spend(spending)
        return controlwire.encode_ticket_answer(answer)

    async def _withdraw(
        self, request: wire.WithdrawalNotice
    ) -> wire.WithdrawalHeard:
        await self._handlers.withdraw(
            controlwire.checked_digest(request.key_hash)
        )
        return wire.WithdrawalHeard()

    async def _witness(
        self, request: wire.WitnessRequest
    ) -> wire.WitnessAnswer:
        holder = checked_name('holder', request.holder)
        answer = await self._handlers.witness(holder)
        return controlwire.encode_witness_answer(answer)

    async def _nudge(self, _request: wire.LeaseNudge) -> wire.LeaseNudged:
        await self._handlers.nudge()
        return wire.LeaseNudged()


async def _handle_call(
    stream: Stream[_Request, _Answer],
    handle: Callable[[_Request], Awaitable[_Answer]],
) -> None:
    """Pass a request to its handler and send the answer.

    An invalid message ends only this call, not the connection.
    """
    try:
        request = await stream.recv_message()
    except DecodeError as error:
        _log.warning('bad_control_message', reason=str(error))
        raise GRPCError(
            Status.INVALID_ARGUMENT, 'Send a message of control.proto.'
        ) from None
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, 'Send one message a call.')
    try:
        answer = await handle(request)
    except BadMessageError as error:
        _log.warning('bad_control_message', reason=str(error))
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from None
    await stream.send_message(answer)
