"""Check control calls between daemons over loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import testtools
from grpclib import GRPCError, Status
from grpclib.client import Channel, UnaryUnaryMethod

from asyncrun import run_async
from dragonflyknot.decisions import grants, ledger, members, tickets
from dragonflyknot.decisions import keyring as keys
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.decisions.outage import StoreStatement
from dragonflyknot.peers import gossipwire
from dragonflyknot.peers.control import ControlServer
from dragonflyknot.peers.controlclient import (
    ControlClient,
    PeerRefused,
    PeerUnreachable,
)
from dragonflyknot.peers.controlwire import KeysReport
from dragonflyknot.peers.wire import control_pb2 as wire
from harness.addresses import free_addresses
from harness.gossipfleet import build_member

SECRET = 'a secret of the fleet'
DIGEST = 'ab' * 32
KEYS = KeysReport(
    keys.KeyChanges(0, 1, (keys.KeyRecord(DIGEST, 'w', True, 1),)),
    keys.PeerFreshness(1, 0.25),
    StoreStatement(True, 1, frozenset((DIGEST,))),
)
SPENDING = tickets.Spending(tickets.Ticket('h', 7, 0, 's'), 'w', 'n')
GOSSIP = members.Gossip(
    build_member(1, 's'),
    (replace(build_member(2, ''), report=None),),
    held=members.Version(1, 2, members.Standing.SUSPECT),
    view=members.ViewDigest('s', 2**64 - 1),
    versions=(
        members.HeldVersion('h', members.Version(3, 4, members.Standing.GONE)),
    ),
    wanted=('a',),
    lookups=('b',),
    revision=Revision(3, DIGEST, 'n'),
    keys=keys.PeerFreshness(4, 0.5),
)


class _Handlers:
    """Answer each call with fixed values and record it."""

    def __init__(self) -> None:
        self.withdrawn: list[str] = []
        self.released: list[tickets.Spending] = []
        self.delay_s: float = 0
        self.nudges = 0

    async def gossip(self, message: members.Gossip) -> members.Gossip:
        await asyncio.sleep(self.delay_s)
        return message

    async def resolve(
        self, attempt_id: str, incarnation: int
    ) -> ledger.Resolved:
        return ledger.ResolvedFinished(answer_kept=incarnation == 7)

    async def grant(self, request: grants.GrantRequest) -> grants.GrantAnswer:
        return grants.GrantAnswer(
            request.grant_id, request.workspace, request.amount / 2, full=True
        )

    async def content(self, digest: str) -> bytes | None:
        return b'content' if digest == DIGEST else None

    async def keys(self, since: int) -> KeysReport:
        return KEYS

    async def spend(self, spending: tickets.Spending) -> tickets.TicketAnswer:
        return tickets.TicketTaken()

    async def release(self, spending: tickets.Spending) -> None:
        self.released.append(spending)

    async def withdraw(self, key_hash: str) -> None:
        self.withdrawn.append(key_hash)

    async def witness(self, holder: str) -> AnswerWitness:
        return AnswerWitness('w/1', holder, granted=True)

    async def nudge(self) -> None:
        self.nudges += 1


class ControlTest(testtools.TestCase):
    """Check that calls reach their handlers and invalid ones get a status."""

    def setUp(self) -> None:
        super().setUp()
        self.handlers = _Handlers()
        self.address, self.closed = free_addresses(2)
        self.port = int(self.address.rpartition(':')[2])

    def test_every_call_round_trips(self) -> None:
        async def body(client: ControlClient) -> None:
            address = self.address
            gossip = await client.gossip(address, GOSSIP, 1)
            self.assertEqual(GOSSIP, gossip.unwrap())
            resolved = await client.resolve(address, '0.r.1', 7, 1)
            self.assertEqual(
                ledger.ResolvedFinished(answer_kept=True), resolved.unwrap()
            )
            request = grants.GrantRequest(
                'g', 'w', 4, (grants.Settlement('f', 1, 2),)
            )
            grant = await client.ask_grant(address, request, 1)
            answered = grants.GrantAnswer('g', 'w', 2, full=True)
            self.assertEqual(answered, grant.unwrap())
            content = await client.content(address, DIGEST, 1)
            self.assertEqual(b'content', content.unwrap())
            told = await client.keys(address, 0, 1)
            self.assertEqual(KEYS, told.unwrap())
            spent = await client.spend(address, SPENDING, 1)
            self.assertEqual(tickets.TicketTaken(), spent.unwrap())
            await client.release(address, SPENDING, 1)
            self.assertEqual([SPENDING], self.handlers.released)
            await client.announce_withdrawal(address, DIGEST, 1)
            self.assertEqual([DIGEST], self.handlers.withdrawn)
            granted = await client.ask_witness(address, 'h/1/1', 1)
            expected = AnswerWitness('w/1', 'h/1/1', granted=True)
            self.assertEqual(expected, granted.unwrap())
            await client.nudge(address, 1)
            self.assertEqual(1, self.handlers.nudges)

        self._run(body)

    def test_invalid_messages_get_a_status_and_server_stays_up(self) -> None:
        async def body(client: ControlClient) -> None:
            missing = await client.content(self.address, 'cd' * 32, 1)
            self._assert_refused('NOT_FOUND', missing.unwrap_err())
            malformed = await client.content(self.address, 'x', 1)
            self._assert_refused('INVALID_ARGUMENT', malformed.unwrap_err())
            not_a_number = grants.GrantRequest('g', 'w', float('nan'))
            refused = await client.ask_grant(self.address, not_a_number, 1)
            self._assert_refused('INVALID_ARGUMENT', refused.unwrap_err())
            await self._send_wrong_type()
            again = await client.gossip(self.address, GOSSIP, 1)
            self.assertTrue(again.is_ok())

        self._run(body)

    def test_wrong_secret_is_refused(self) -> None:
        async def body(_client: ControlClient) -> None:
            async with ControlClient('another secret') as other_client:
                refused = await other_client.gossip(self.address, GOSSIP, 1)
                self._assert_refused('UNAUTHENTICATED', refused.unwrap_err())

        self._run(body)

    def test_timeout_returns_an_error_and_opens_a_new_channel(self) -> None:
        async def body(client: ControlClient) -> None:
            self.handlers.delay_s = 30
            silent = await client.gossip(self.address, GOSSIP, 0.1)
            self.assertEqual(PeerUnreachable(self.address), silent.unwrap_err())
            self.handlers.delay_s = 0
            again = await client.gossip(self.address, GOSSIP, 1)
            self.assertTrue(again.is_ok())
            closed = await client.gossip(self.closed, GOSSIP, 1)
            self.assertTrue(closed.is_err())

        self._run(body)

    def _run(self, body: Callable[[ControlClient], Awaitable[None]]) -> None:
        async def with_server() -> None:
            server = ControlServer(
                self.handlers, '127.0.0.1', self.port, SECRET
            )
            async with server, ControlClient(SECRET) as client:
                await body(client)

        run_async(with_server())

    async def _send_wrong_type(self) -> None:
        channel = Channel('127.0.0.1', self.port)
        method = UnaryUnaryMethod(
            channel,
            '/dragonflyknot.control.Control/Gossip',
            wire.ObjectAnswer,
            wire.GossipMessage,
        )
        wrong = wire.ObjectAnswer(content=b'\xff\xff')
        metadata = {'dragonflyknot-secret': SECRET}
        try:
            await method(wrong, timeout=1, metadata=metadata)
        except GRPCError as error:
            self.assertIs(Status.INVALID_ARGUMENT, error.status)
        else:
            self.fail('a message of a wrong type was taken')
        finally:
            channel.close()

    def _assert_refused(self, status: str, error: object) -> None:
        assert isinstance(error, PeerRefused), error
        self.assertEqual(status, error.status)


class GossipWireTest(testtools.TestCase):
    """Check that invalid gossip messages are rejected."""

    def test_invalid_fields_are_rejected(self) -> None:
        for wrong in (
            wire.GossipMessage(),
            wire.GossipMessage(sender=wire.Member(host='h' * 300)),
            wire.GossipMessage(
                sender=gossipwire.encode_member(build_member(1, 's')),
                wanted=['h'] * 2000,
            ),
        ):
            self.assertRaises(ValueError, gossipwire.decode_gossip, wrong)
