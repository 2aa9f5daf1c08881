"""Serve the control calls of other daemons.

The daemon passes the handlers; this module checks the fleet secret and every
message, so that a wrong peer hears a clear status and does no harm.
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
from dragonflyknot.peers.badmessage import BadMessageError, checked_name
from dragonflyknot.peers.controlwire import KeysTold
from dragonflyknot.peers.wire import control_pb2 as wire
from dragonflyknot.peers.wire.control_grpc import ControlBase

SECRET_METADATA = 'dragonflyknot-secret'

_log = structlog.get_logger(__name__)

_Request = TypeVar('_Request', bound=Message)
_Answer = TypeVar('_Answer', bound=Message)


class ControlHandlers(Protocol):
    """Answer the control calls of peers."""

    async def gossip(self, message: members.Gossip) -> members.Gossip:
        """Exchange what is known of the fleet."""

    async def resolve(
        self, attempt_id: str, incarnation: int
    ) -> ledger.Resolved:
        """Answer what became of an attempt."""

    async def grant(self, request: grants.GrantRequest) -> grants.GrantAnswer:
        """Answer a request for tokens."""

    async def content(self, digest: str) -> bytes | None:
        """Return a manifest or section, or none if it is not held."""

    async def keys(self, since: int) -> KeysTold:
        """Tell the key changes since a number."""

    async def spend(self, spending: tickets.Spending) -> tickets.TicketAnswer:
        """Spend a ticket that this daemon guards."""

    async def release(self, spending: tickets.Spending) -> None:
        """Release a ticket whose request did not run."""

    async def withdraw(self, key_hash: str) -> None:
        """Take in an announced withdrawal."""

    async def witness(self, holder: str) -> AnswerWitness:
        """Answer a holder of shards that asks for a short lease."""

    async def nudge(self) -> None:
        """Take in that the lease rows have changed."""


class ControlServer:
    """Own the gRPC listener of a daemon; a context manager."""

    def __init__(
        self, handlers: ControlHandlers, host: str, port: int, secret: str
    ) -> None:
        """Listen on an IP number and a port once entered."""
        self._handlers = handlers
        self._host = host
        self._port = port
        self._secret = secret

    async def __aenter__(self) -> 'ControlServer':
        """Start to listen; raise `OSError` if the port is taken."""
        self._server = Server([_Service(self._handlers)])
        listen(self._server, RecvRequest, self._authenticate)
        await self._server.start(self._host, self._port)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop to listen and end calls that are under way."""
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
    """Turn each call into a handler's data classes and back."""

    def __init__(self, handlers: ControlHandlers) -> None:
        self._handlers = handlers

    async def Gossip(
        self, stream: Stream[wire.GossipMessage, wire.GossipMessage]
    ) -> None:
        await _answer(stream, self._gossip)

    async def Resolve(
        self, stream: Stream[wire.ResolveRequest, wire.ResolveAnswer]
    ) -> None:
        await _answer(stream, self._resolve)

    async def AskGrant(
        self, stream: Stream[wire.GrantRequest, wire.GrantAnswer]
    ) -> None:
        await _answer(stream, self._grant)

    async def FetchObject(
        self, stream: Stream[wire.ObjectRequest, wire.ObjectAnswer]
    ) -> None:
        await _answer(stream, self._content)

    async def FetchKeys(
        self, stream: Stream[wire.KeysRequest, wire.KeysAnswer]
    ) -> None:
        await _answer(stream, self._keys)

    async def SpendTicket(
        self, stream: Stream[wire.TicketRequest, wire.TicketAnswer]
    ) -> None:
        await _answer(stream, self._spend)

    async def AnnounceWithdrawal(
        self, stream: Stream[wire.WithdrawalNotice, wire.WithdrawalHeard]
    ) -> None:
        await _answer(stream, self._withdraw)

    async def AskWitness(
        self, stream: Stream[wire.WitnessRequest, wire.WitnessAnswer]
    ) -> None:
        await _answer(stream, self._witness)

    async def NudgeLeases(
        self, stream: Stream[wire.LeaseNudge, wire.LeaseNudged]
    ) -> None:
        await _answer(stream, self._nudge)

    async def _gossip(self, asked: wire.GossipMessage) -> wire.GossipMessage:
        message = gossipwire.decode_gossip(asked)
        return gossipwire.encode_gossip(await self._handlers.gossip(message))

    async def _resolve(self, asked: wire.ResolveRequest) -> wire.ResolveAnswer:
        attempt_id = checked_name('attempt_id', asked.attempt_id)
        resolved = await self._handlers.resolve(attempt_id, asked.incarnation)
        return controlwire.encode_resolved(resolved)

    async def _grant(self, asked: wire.GrantRequest) -> wire.GrantAnswer:
        request = controlwire.decode_grant_request(asked)
        answer = await self._handlers.grant(request)
        return controlwire.encode_grant_answer(answer)

    async def _content(self, asked: wire.ObjectRequest) -> wire.ObjectAnswer:
        digest = controlwire.checked_digest(asked.digest)
        content = await self._handlers.content(digest)
        if content is None:
            raise GRPCError(
                Status.NOT_FOUND, 'It is not held here; ask another daemon.'
            )
        return wire.ObjectAnswer(content=content)

    async def _keys(self, asked: wire.KeysRequest) -> wire.KeysAnswer:
        return controlwire.encode_keys(await self._handlers.keys(asked.since))

    async def _spend(self, asked: wire.TicketRequest) -> wire.TicketAnswer:
        spending = controlwire.decode_spending(asked)
        if asked.release:
            await self._handlers.release(spending)
            return wire.TicketAnswer()
        answer = await self._handlers.spend(spending)
        return controlwire.encode_ticket_answer(answer)

    async def _withdraw(
        self, asked: wire.WithdrawalNotice
    ) -> wire.WithdrawalHeard:
        await self._handlers.withdraw(
            controlwire.checked_digest(asked.key_hash)
        )
        return wire.WithdrawalHeard()

    async def _witness(self, asked: wire.WitnessRequest) -> wire.WitnessAnswer:
        holder = checked_name('holder', asked.holder)
        answer = await self._handlers.witness(holder)
        return controlwire.encode_witness_answer(answer)

    async def _nudge(self, _asked: wire.LeaseNudge) -> wire.LeaseNudged:
        await self._handlers.nudge()
        return wire.LeaseNudged()


async def _answer(
    stream: Stream[_Request, _Answer],
    handle: Callable[[_Request], Awaitable[_Answer]],
) -> None:
    """Pass a message to its handler; a bad one ends the call alone."""
    try:
        asked = await stream.recv_message()
    except DecodeError as error:
        _log.warning('bad_control_message', reason=str(error))
        raise GRPCError(
            Status.INVALID_ARGUMENT, 'Send a message of control.proto.'
        ) from None
    if asked is None:
        raise GRPCError(Status.INVALID_ARGUMENT, 'Send one message a call.')
    try:
        answer = await handle(asked)
    except BadMessageError as error:
        _log.warning('bad_control_message', reason=str(error))
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from None
    await stream.send_message(answer)
