"""Keep the daemon's copy of the keys fresh, from the store and from peers.

The store is read when no peer has made the copy fresh lately. When it does
not answer, the daemons in the store's region are asked, which either
vouch for the copy or agree that the store is out for everybody.
"""

import asyncio
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.decisions.keyring import (
    STORE_READ_AGE_S,
    KeyChanges,
    KeyRecord,
    Keyring,
    PeerFreshness,
)
from dragonflyknot.decisions.outage import OutageWitnesses, StoreStatement
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.controlwire import KeysReport
from dragonflyknot.stores.errors import ReadError, Unavailable
from dragonflyknot.stores.interfaces import Table
from dragonflyknot.stores.paging import read_all
from dragonflyknot.stores.rows import (
    KeyChangeBody,
    KeyHeadBody,
    decoded,
    key_head_key,
    key_log_partition,
    padded,
)

TICK_S = 0.2
READ_TIMEOUT_S = 0.6
READ_KEPT_S = 3.0
ASK_TIMEOUT_S = 0.5

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Announced:
    """Count the witnesses that took in an announced withdrawal."""

    told: int
    needed: int


@dataclass(frozen=True, slots=True)
class _StoreRead:
    """Hold changes from the log, and the head that was read before it."""

    changes: KeyChanges
    head: int


class KeyLoop:
    """Own the freshness of the keyring; a context manager."""

    def __init__(
        self,
        keyring: Keyring,
        table: Table,
        environment: str,
        client: ControlClient,
    ) -> None:
        """Keep the copy and its sources."""
        self._keyring = keyring
        self._table = table
        self._environment = environment
        self._client = client
        self._witnesses = OutageWitnesses()
        self._addresses_by_witness: dict[str, str] = {}
        self._own_witness = ''
        self._failed_at: float | None = None
        self._tasks = Tasks()
        self._rng = random.Random()
        self.is_large = False

    async def __aenter__(self) -> 'KeyLoop':
        """Start to keep the copy fresh."""
        await self._tasks.__aenter__()
        self._tasks.start(self._run())
        self._tasks.start(self._run_witnesses())
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop; the copy goes stale."""
        await self._tasks.__aexit__(*details)

    def choose_witnesses(
        self, addresses_by_host: dict[str, str], own: str
    ) -> None:
        """Name the daemons of the store's region, silent ones too.

        `own` is this daemon's host if it is one of them, else empty.
        """
        self._addresses_by_witness = addresses_by_host
        self._own_witness = own
        hosts: Iterable[str] = addresses_by_host
        self._witnesses.replace_hosts((*hosts, own) if own else hosts)

    def freshness(self) -> PeerFreshness:
        """Return how fresh the copy is."""
        return self._keyring.freshness(time.monotonic())

    def heard(
        self, address: str, freshness: PeerFreshness, asked_at: float
    ) -> None:
        """Take in a peer's freshness; fetch what the copy lacks."""
        if not self._keyring.confirm_by_peer(freshness, asked_at):
            self._tasks.start(self._catch_up(address))

    def told(self, address: str, freshness: PeerFreshness) -> None:
        """Ask a peer whose message says that its copy is much fresher.

        How old the message is cannot be known, so it proves nothing itself.
        """
        if self._keyring.should_refresh_from(freshness, time.monotonic()):
            self._tasks.start(self._catch_up(address))

    def tell(self, since: int) -> KeysReport:
        """Return what a peer that holds `since` needs to know."""
        return KeysReport(
            self._keyring.changes_since(since),
            self.freshness(),
            self._statement(),
        )

    def withdraw(self, key_hash: str) -> None:
        """Refuse a key from now on."""
        self._keyring.withdraw(key_hash)

    async def announce(self, key_hash: str) -> Announced:
        """Announce a withdrawal to the witnesses, before it is written."""
        self.withdraw(key_hash)
        answers = await asyncio.gather(
            *(
                self._client.announce_withdrawal(
                    address, key_hash, ASK_TIMEOUT_S
                )
                for address in self._addresses_by_witness.values()
            )
        )
        told = sum(answer.is_ok() for answer in answers)
        return Announced(
            told + bool(self._own_witness), self._witnesses.majority
        )

    async def _run(self) -> None:
        while True:
            needs_read = self._keyring.needs_read(
                time.monotonic(), self._rng, is_large=self.is_large
            )
            if needs_read or self._failed_at is not None:
                await self._refresh()
            await asyncio.sleep(TICK_S)

    async def _refresh(self) -> None:
        asked_at = time.monotonic()
        match await self._read_store():
            case Ok(read):
                self._failed_at = None
                self._keyring.install(read.changes)
                self._keyring.confirm_by_store(read.head, asked_at)
            case Err(error):
                self._failed_at = time.monotonic()
                _log.warning('keys_not_read', reason=str(error))

    async def _read_store(self) -> Result[_StoreRead, ReadError]:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._read_changes()
        except TimeoutError:
            return Err(Unavailable('table service', 'no answer in time'))

    async def _read_changes(self) -> Result[_StoreRead, ReadError]:
        since = self._keyring.sequence
        row = await self._table.get(key_head_key(self._environment))
        if isinstance(row, Err):
            return row
        if row.ok_value is None:
            return Ok(_StoreRead(KeyChanges(since, since, ()), since))
        head = decoded(KeyHeadBody, row.ok_value)
        if isinstance(head, Err):
            return head
        sequence = head.ok_value.sequence
        if sequence <= since:
            return Ok(_StoreRead(KeyChanges(since, since, ()), sequence))
        return await self._read_log(since, sequence)

    async def _read_log(
        self, since: int, sequence: int
    ) -> Result[_StoreRead, ReadError]:
        partition = key_log_partition(self._environment)
        rows = await read_all(self._table, partition, padded(since))
        if isinstance(rows, Err):
            return rows
        records: list[KeyRecord] = []
        for row in rows.ok_value:
            body = decoded(KeyChangeBody, row)
            if isinstance(body, Err):
                return body
            records.append(_record(body.ok_value))
        reached = _reached(since, records)
        changes = KeyChanges(since, reached, tuple(records))
        return Ok(_StoreRead(changes, sequence))

    async def _run_witnesses(self) -> None:
        """Ask while the store fails, without waiting for its next read."""
        while True:
            now = time.monotonic()
            is_old = self._keyring.age_s(now) > STORE_READ_AGE_S
            if self._failed_at is not None and is_old:
                await asyncio.gather(
                    *(
                        self._ask_witness(host, address)
                        for host, address in self._addresses_by_witness.items()
                    )
                )
                self._judge()
            await asyncio.sleep(TICK_S)

    async def _ask_witness(self, host: str, address: str) -> None:
        asked_at = time.monotonic()
        told = await self._fetch(address)
        if told is None:
            return
        self._witnesses.record_statement(host, told.statement, asked_at)
        self._judge()

    def _judge(self) -> None:
        now = time.monotonic()
        if self._own_witness:
            self._witnesses.record_statement(
                self._own_witness, self._statement(), now
            )
        confirmed_until = self._witnesses.confirmed_until(self._keyring, now)
        if confirmed_until is not None:
            self._keyring.confirm_by_outage(confirmed_until)

    async def _catch_up(self, address: str) -> None:
        await self._fetch(address)

    async def _fetch(self, address: str) -> KeysReport | None:
        asked_at = time.monotonic()
        answer = await self._client.keys(
            address, self._keyring.sequence, ASK_TIMEOUT_S
        )
        told = answer.ok()
        if told is None:
            return None
        for key_hash in told.statement.announced:
            self._keyring.withdraw(key_hash)
        if self._keyring.install(told.changes):
            self._keyring.confirm_by_peer(told.freshness, asked_at)
        return told

    def _statement(self) -> StoreStatement:
        failed_at = self._failed_at
        is_out = (
            failed_at is not None
            and time.monotonic() - failed_at <= READ_KEPT_S
        )
        return StoreStatement(
            is_out, self._keyring.sequence, self._keyring.announced
        )


def _record(body: KeyChangeBody) -> KeyRecord:
    return KeyRecord(
        body.key_hash, body.workspace, body.withdrawn, body.sequence
    )


def _reached(since: int, records: Iterable[KeyRecord]) -> int:
    """Return the number up to which the log has no gap."""
    reached = since
    for record in records:
        if record.sequence == reached + 1:
            reached += 1
    return reached
