"""Claim operations in the table, and spend and guard tickets.

Implements what the edge needs for routes that run at most once. A key that
is a ticket goes to its guard, any other key to the table.
"""

import asyncio
import secrets
import time
from dataclasses import dataclass

import structlog
from result import Err, Ok

from dragonflyknot.callers.ports import Claimed
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions import operations as once
from dragonflyknot.decisions import tickets
from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.directory import Directory
from dragonflyknot.stores.errors import AnswerLost, ConditionFailed
from dragonflyknot.stores.interfaces import Table
from dragonflyknot.stores.writes import (
    DeleteIf,
    PutIfAbsent,
    RowKey,
    row_after,
)

REMOVE_INTERVAL_S = 1.0
SPEND_TIMEOUT_S = 0.5
SPEND_TRIES = 3
RETRY_AFTER_S = 1.0
NONCE_BYTES = 12
SERIAL_BYTES = 9
_BODY = '{}'

_log = structlog.get_logger(__name__)

_Decision = asyncio.Future[Refused | None]


@dataclass(frozen=True, slots=True)
class ClaimPorts:
    """Bundle what claims and tickets need from the daemon."""

    host: str
    incarnation: int
    environment: str
    table: Table
    client: ControlClient
    directory: Directory


class Claims:
    """Own the claims of one daemon; a context manager."""

    def __init__(self, ports: ClaimPorts) -> None:
        """Keep the ports; start without claims."""
        self._ports = ports
        self._machine = once.OperationClaims()
        self._guard = tickets.TicketGuard(ports.host, ports.incarnation)
        self._decisions_by_claim: dict[once.Claim, _Decision] = {}
        self._held_by_operation: dict[str, once.Claim | tickets.Spending] = {}
        self._tasks = Tasks()

    async def __aenter__(self) -> 'Claims':
        """Start to remove claims that are left behind."""
        await self._tasks.__aenter__()
        self._tasks.start(self._remove_left())
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop; claims that may have run stay."""
        await self._tasks.__aexit__(*details)

    async def claim(
        self, workspace: str, idempotency_key: str, deadline: float
    ) -> Claimed | Refused:
        """Claim an operation before its first attempt."""
        nonce = secrets.token_hex(NONCE_BYTES)
        ticket = tickets.parse_ticket(idempotency_key)
        operation = once.make_operation_id(workspace, idempotency_key)
        if ticket is None:
            return await self._claim(once.Claim(operation, nonce), deadline)
        spending = tickets.Spending(ticket, workspace, nonce)
        refused = await self._spend(spending, deadline)
        if refused is None:
            self._held_by_operation[operation] = spending
            return Claimed(operation)
        return refused

    def settle(self, claimed: Claimed, *, may_have_run: bool) -> None:
        """Keep the claim of an operation that may have run, or free it."""
        held = self._held_by_operation.pop(claimed.operation, None)
        match held:
            case once.Claim():
                self._feed(once.ClaimEnded(held, may_have_run))
            case tickets.Spending() if not may_have_run:
                self._tasks.start(self._release(held))

    def issue_ticket(self) -> str:
        """Return a new idempotency key that this daemon guards."""
        serial = secrets.token_urlsafe(SERIAL_BYTES)
        return str(self._guard.issue(serial, time.monotonic()))

    def spend(self, spending: tickets.Spending) -> tickets.TicketAnswer:
        """Spend a ticket that this daemon guards, for a peer."""
        return self._guard.spend(spending, time.monotonic())

    def release(self, spending: tickets.Spending) -> None:
        """Release a ticket that this daemon guards, for a peer."""
        self._guard.release(spending)

    async def _claim(
        self, claim: once.Claim, deadline: float
    ) -> Claimed | Refused:
        decision: _Decision = asyncio.get_running_loop().create_future()
        self._decisions_by_claim[claim] = decision
        refused: Refused | None = Refused(Refusal.PLATFORM_OUT, RETRY_AFTER_S)
        is_decided = False
        try:
            async with asyncio.timeout(max(deadline - time.monotonic(), 0)):
                self._feed(once.ClaimRequested(claim))
                refused = await decision
                is_decided = True
        except TimeoutError:
            _log.warning('claim_timed_out')
        finally:
            self._decisions_by_claim.pop(claim)
            if not is_decided:
                self._give_up(claim, decision)
        if refused is not None:
            return refused
        self._held_by_operation[claim.operation] = claim
        return Claimed(claim.operation)

    def _give_up(self, claim: once.Claim, decision: _Decision) -> None:
        """Free a claim whose request no longer waits; it did not run."""
        is_won = decision.done() and not decision.cancelled()
        if is_won and decision.result() is None:
            self._feed(once.ClaimEnded(claim, may_have_run=False))
        else:
            self._feed(once.ClaimAbandoned(claim))

    def _feed(self, event: once.OperationEvent) -> None:
        for command in self._machine.handle(event):
            match command:
                case once.InsertClaims(claims):
                    self._tasks.start(self._insert(claims))
                case once.RemoveClaim(claim):
                    self._tasks.start(self._remove(claim))
                case once.ClaimWon(claim):
                    self._decide(claim, None)
                case once.ClaimTaken(claim):
                    self._decide(claim, Refused(Refusal.ALREADY_CLAIMED))
                case once.ClaimRefused(claim):
                    refused = Refused(Refusal.PLATFORM_OUT, RETRY_AFTER_S)
                    self._decide(claim, refused)

    def _decide(self, claim: once.Claim, refused: Refused | None) -> None:
        decision = self._decisions_by_claim.get(claim)
        if decision is not None and not decision.done():
            decision.set_result(refused)
        elif refused is None:
            # The request went away at this very moment, so nothing ran.
            self._feed(once.ClaimEnded(claim, may_have_run=False))

    async def _insert(self, claims: tuple[once.Claim, ...]) -> None:
        puts = [self._put(claim) for claim in claims]
        match await self._ports.table.transact(puts):
            case Ok():
                self._feed(once.InsertApplied())
            case Err(ConditionFailed(conflicts)):
                present = tuple(
                    once.Claim(conflict.key.sort, conflict.current.nonce)
                    for conflict in conflicts
                    if conflict.current is not None
                )
                self._feed(once.InsertConflicted(present))
            case Err(error):
                _log.warning('claims_not_written', reason=str(error))
                is_lost = isinstance(error, AnswerLost)
                self._feed(once.InsertFailed(may_have_applied=is_lost))

    async def _remove(self, claim: once.Claim) -> None:
        delete = DeleteIf(row_after(self._put(claim)))
        answer = await self._ports.table.write(delete)
        match answer.err():
            case None | ConditionFailed():
                is_settled = True
            case _:
                is_settled = False
        self._feed(once.RemoveEnded(claim, is_settled))

    async def _remove_left(self) -> None:
        while True:
            await asyncio.sleep(REMOVE_INTERVAL_S)
            for claim in self._machine.pending_removals:
                await self._remove(claim)

    def _put(self, claim: once.Claim) -> PutIfAbsent:
        partition = (
            f'{self._ports.environment}/operations/{claim.operation[:2]}'
        )
        return PutIfAbsent(
            RowKey(partition, claim.operation), claim.nonce, _BODY
        )

    async def _spend(
        self, spending: tickets.Spending, deadline: float
    ) -> Refused | None:
        """Return None if the ticket was won; a guard that is gone knows not."""
        answer = await self._ask_guard(spending, deadline)
        match answer:
            case tickets.TicketWon():
                return None
            case None:
                # The guard may have heard the question, so it is told.
                self._tasks.start(self._release(spending))
        return Refused(Refusal.ALREADY_CLAIMED, outcome=Outcome.UNKNOWN)

    async def _ask_guard(
        self, spending: tickets.Spending, deadline: float
    ) -> tickets.TicketAnswer | None:
        if spending.ticket.host == self._ports.host:
            return self.spend(spending)
        tries = 0
        while tries < SPEND_TRIES and time.monotonic() < deadline:
            tries += 1
            address = self._ports.directory.address(spending.ticket.host)
            if address is None:
                return tickets.TicketUnknown()
            answer = await self._ports.client.spend(
                address.control, spending, SPEND_TIMEOUT_S
            )
            if answer.is_ok():
                return answer.ok()
        return None

    async def _release(self, spending: tickets.Spending) -> None:
        if spending.ticket.host == self._ports.host:
            self.release(spending)
            return
        address = self._ports.directory.address(spending.ticket.host)
        tries = 0
        while address is not None and tries < SPEND_TRIES:
            tries += 1
            answer = await self._ports.client.release(
                address.control, spending, SPEND_TIMEOUT_S
            )
            if answer.is_ok():
                return
