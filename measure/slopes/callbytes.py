"""Measure what a control call costs beyond its two messages."""

import asyncio
import time

from dragonflyknot.decisions import grants, ledger, members, tickets
from dragonflyknot.decisions.keyring import KeyChanges, PeerFreshness
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.decisions.outage import StoreStatement
from dragonflyknot.peers.control import ControlServer
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.controlwire import KeysReport
from dragonflyknot.peers.gossipwire import encode_gossip
from harness.addresses import free_addresses
from harness.gossipfleet import build_member

CALLS = 500
MICROSECONDS = 1_000_000
CHUNK_BYTES = 65536
TIMEOUT_S = 2.0
RELAY_END_S = 0.1
SECRET = 'a secret of the whole fleet'


class _Echo:
    """Answer every call with little."""

    async def gossip(self, message: members.Gossip) -> members.Gossip:
        return message

    async def resolve(
        self, attempt_id: str, incarnation: int
    ) -> ledger.Resolved:
        return ledger.ResolvedUnknown()

    async def grant(self, request: grants.GrantRequest) -> grants.GrantAnswer:
        return grants.GrantAnswer(request.grant_id, request.workspace, 0)

    async def content(self, digest: str) -> bytes | None:
        return b''

    async def keys(self, since: int) -> KeysReport:
        return KeysReport(
            KeyChanges(0, 0, ()), PeerFreshness(0, 0), StoreStatement(False, 0)
        )

    async def spend(self, spending: tickets.Spending) -> tickets.TicketAnswer:
        return tickets.TicketUnknown()

    async def release(self, spending: tickets.Spending) -> None:
        """Take a release."""

    async def withdraw(self, key_hash: str) -> None:
        """Take a withdrawal."""

    async def witness(self, holder: str) -> AnswerWitness:
        """Grant a short lease."""
        return AnswerWitness('w/1', holder, granted=True)

    async def nudge(self) -> None:
        """Take a nudge."""


class _CountingRelay:
    """Count the bytes between one client and one server."""

    def __init__(self, target: str) -> None:
        self.passed_bytes = 0
        self._target = target

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(':')
        opened = await asyncio.open_connection(host, int(port))
        server_reader, server_writer = opened
        await asyncio.gather(
            self._pass(reader, server_writer), self._pass(server_reader, writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            self.passed_bytes += len(chunk)
            writer.write(chunk)
        writer.close()


async def measure_call_bytes() -> float:
    """Return the bytes of a call on an open channel, both ways."""
    target, through = free_addresses(2)
    relay = _CountingRelay(target)
    host, _, port = target.rpartition(':')
    message = members.Gossip(build_member(1, 's'))
    server = ControlServer(_Echo(), host, int(port), SECRET)
    relay_host, _, relay_port = through.rpartition(':')
    async with server:
        listener = await asyncio.start_server(
            relay.serve, relay_host, int(relay_port)
        )
        async with listener:
            async with ControlClient(SECRET) as client:
                await _call(client, through, message)
                relay.passed_bytes = 0
                for _ in range(CALLS):
                    await _call(client, through, message)
                passed_bytes = relay.passed_bytes / CALLS
            await asyncio.sleep(RELAY_END_S)
    return passed_bytes - 2 * encode_gossip(message).ByteSize()


async def measure_call_us() -> float:
    """Return the processor time of a call, client and server together."""
    address = free_addresses(1)[0]
    host, _, port = address.rpartition(':')
    message = members.Gossip(build_member(1, 's'))
    async with (
        ControlServer(_Echo(), host, int(port), SECRET),
        ControlClient(SECRET) as client,
    ):
        await _call(client, address, message)
        began = time.process_time()
        for _ in range(CALLS):
            await _call(client, address, message)
        return (time.process_time() - began) / CALLS * MICROSECONDS


async def _call(
    client: ControlClient, address: str, message: members.Gossip
) -> None:
    answer = await client.gossip(address, message, TIMEOUT_S)
    answer.unwrap()
