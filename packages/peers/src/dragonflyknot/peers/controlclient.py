"""Call the control listeners of other daemons.

Every call has a timeout and returns an answer or a `ControlError`. After a
timeout or a connection error the channel is suspected: later calls open a new
channel, and the old one is closed when its last call has ended.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from google.protobuf.message import DecodeError, Message
from grpclib import GRPCError, Status
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import StreamTerminatedError
from result import Err, Ok, Result

from dragonflyknot.decisions import grants, ledger, members, tickets
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.exchange.addresses import has_port
from dragonflyknot.peers import controlwire, gossipwire
from dragonflyknot.peers.control import SECRET_METADATA
from dragonflyknot.peers.controlwire import KeysReport
from dragonflyknot.peers.validation import BadMessageError
from dragonflyknot.peers.wire import control_pb2 as wire
from dragonflyknot.peers.wire.control_grpc import ControlStub

MAX_CHANNELS = 64
KEEPALIVE_INTERVAL_S = 10.0
KEEPALIVE_TIMEOUT_S = 5.0

_Answer = TypeVar('_Answer', bound=Message)
_Decoded = TypeVar('_Decoded')


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A peer did not answer in time, or the connection failed."""

    address: str

    def __str__(self) -> str:
        """Return the error message with its remedy."""
        return (
            f'{self.address} did not answer; check that its daemon runs and'
            ' that the network lets control connections through.'
        )


@dataclass(frozen=True, slots=True)
class PeerRefused:
    """A peer answered with an error status or an invalid message."""

    address: str
    status: str
    reason: str

    def __str__(self) -> str:
        """Return the error message with its remedy."""
        return (
            f'{self.address} refused the call ({self.status}): {self.reason}'
            ' Run the same release and fleet secret on all daemons.'
        )


ControlError = PeerUnreachable | PeerRefused


@dataclass(slots=True)
class _ChannelEntry:
    channel: Channel
    stub: ControlStub
    active_calls: int = 0
    is_suspected: bool = False


class ControlClient:
    """Client of other daemons' control listeners, as a context manager.

    Peers are addressed by IP:port. At most MAX_CHANNELS channels are kept;
    the least recently used one is replaced.
    """

    def __init__(self, secret: str) -> None:
        """Send the fleet secret with every call."""
        self._metadata = {SECRET_METADATA: secret}
        self._entries_by_address: dict[str, _ChannelEntry] = {}

    async def __aenter__(self) -> 'ControlClient':
        """Return the client; channels open on first use."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close all channels."""
        for entry in self._entries_by_address.values():
            entry.channel.close()
        self._entries_by_address.clear()

    async def gossip(
        self, address: str, message: members.Gossip, timeout_s: float
    ) -> Result[members.Gossip, ControlError]:
        """Exchange gossip with a peer."""
        encoded = gossipwire.encode_gossip(message)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.Gossip,
            encoded,
            gossipwire.decode_gossip,
        )

    async def resolve(
        self, address: str, attempt_id: str, incarnation: int, timeout_s: float
    ) -> Result[ledger.Resolved, ControlError]:
        """Ask a gate for the state of an attempt."""
        request = wire.ResolveRequest(
            attempt_id=attempt_id, incarnation=incarnation
        )
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.Resolve,
            request,
            controlwire.decode_resolved,
        )

    async def ask_grant(
        self, address: str, request: grants.GrantRequest, timeout_s: float
    ) -> Result[grants.GrantAnswer, ControlError]:
        """Ask a shard holder for rate limit tokens."""
        encoded = controlwire.encode_grant_request(request)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.AskGrant,
            encoded,
            controlwire.decode_grant_answer,
        )

    async def content(
        self, address: str, digest: str, timeout_s: float
    ) -> Result[bytes, ControlError]:
        """Fetch a manifest or a section by its SHA-256 digest."""
        request = wire.ObjectRequest(digest=digest)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.FetchObject,
            request,
            _decode_content,
        )

    async def keys(
        self, address: str, since: int, timeout_s: float
    ) -> Result[KeysReport, ControlError]:
        """Fetch the key changes after a sequence number."""
        request = wire.KeysRequest(since=since)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.FetchKeys,
            request,
            controlwire.decode_keys,
        )

    async def spend(
        self, address: str, spending: tickets.Spending, timeout_s: float
    ) -> Result[tickets.TicketAnswer, ControlError]:
        """Spend a ticket at its guard."""
        request = controlwire.encode_spending(spending, release=False)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.SpendTicket,
            request,
            controlwire.decode_ticket_answer,
        )

    async def release(
        self, address: str, spending: tickets.Spending, timeout_s: float
    ) -> Result[tickets.TicketAnswer, ControlError]:
        """Release a ticket whose request did not run."""
        request = controlwire.encode_spending(spending, release=True)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.SpendTicket,
            request,
            controlwire.decode_ticket_answer,
        )

    async def announce_withdrawal(
        self, address: str, key_hash: str, timeout_s: float
    ) -> Result[None, ControlError]:
        """Announce a key withdrawal before it is written to the table."""
        request = wire.WithdrawalNotice(key_hash=key_hash)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.AnnounceWithdrawal,
            request,
            _decode_empty,
        )

    async def ask_witness(
        self, address: str, holder: str, timeout_s: float
    ) -> Result[AnswerWitness, ControlError]:
        """Ask the witness of a shard holder for a short lease."""
        request = wire.WitnessRequest(holder=holder)
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.AskWitness,
            request,
            controlwire.decode_witness_answer,
        )

    async def nudge(
        self, address: str, timeout_s: float
    ) -> Result[None, ControlError]:
        """Tell a daemon that the lease rows have changed."""
        return await self._call(
            address,
            timeout_s,
            lambda stub: stub.NudgeLeases,
            wire.LeaseNudge(),
            _decode_empty,
        )

    async def _call(
        self,
        address: str,
        timeout_s: float,
        method: Callable[[ControlStub], Callable[..., Awaitable[_Answer]]],
        request: Message,
        decode: Callable[[_Answer], _Decoded],
    ) -> Result[_Decoded, ControlError]:
        if not has_port(address):
            return Err(PeerUnreachable(address))
        entry = self._entry(address)
        entry.active_calls += 1
        send = method(entry.stub)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await send(
                    request, timeout=timeout_s, metadata=self._metadata
                )
            return Ok(decode(answer))
        except GRPCError as error:
            return Err(self._control_error(address, entry, error))
        except (TimeoutError, OSError, StreamTerminatedError):
            self._suspect(address, entry)
            return Err(PeerUnreachable(address))
        except (BadMessageError, DecodeError) as error:
            return Err(PeerRefused(address, 'BAD_MESSAGE', str(error)))
        finally:
            entry.active_calls -= 1
            _close_if_unused(entry)

    def _control_error(
        self, address: str, entry: _ChannelEntry, error: GRPCError
    ) -> ControlError:
        if error.status is Status.DEADLINE_EXCEEDED:
            self._suspect(address, entry)
            return PeerUnreachable(address)
        return PeerRefused(address, error.status.name, error.message or '')

    def _entry(self, address: str) -> _ChannelEntry:
        entry = self._entries_by_address.pop(address, None)
        if entry is None:
            entry = _open_channel(address)
        # Reinserted last, so the least recently used address comes first.
        self._entries_by_address[address] = entry
        if len(self._entries_by_address) > MAX_CHANNELS:
            oldest = next(iter(self._entries_by_address))
            self._suspect(oldest, self._entries_by_address[oldest])
        return entry

    def _suspect(self, address: str, entry: _ChannelEntry) -> None:
        if self._entries_by_address.get(address) is entry:
            self._entries_by_address.pop(address)
        entry.is_suspected = True
        _close_if_unused(entry)


def _open_channel(address: str) -> _ChannelEntry:
    host, _, port = address.rpartition(':')
    channel = Channel(
        host.strip('[]'),
        int(port),
        config=Configuration(
            _keepalive_time=KEEPALIVE_INTERVAL_S,
            _keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=KEEPALIVE_INTERVAL_S,
        ),
    )
    return _ChannelEntry(channel, ControlStub(channel))


def _close_if_unused(entry: _ChannelEntry) -> None:
    if entry.is_suspected and entry.active_calls == 0:
        entry.channel.close()


def _decode_content(answer: wire.ObjectAnswer) -> bytes:
    return answer.content


def _decode_empty(_answer: wire.WithdrawalHeard | wire.LeaseNudged) -> None:
    """Decode an answer without fields."""
