"""Detection of a store outage by a quorum in the store's region.

During an outage of the store no withdrawal of a key can be accepted, so the
replicas of the keys remain correct. A daemon assumes an outage if a majority
of the daemons in the store's region (the witnesses) confirm it. Each of
them must have failed to read the store itself, hold no change that the
requester lacks, and know of no withdrawal in progress that the requester
lacks. A withdrawal is announced to a majority of the witnesses before it is
written, so any two such majorities share a witness that knows of it.

A region that is partitioned from the witnesses reaches no majority, and its
keys become stale.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dragonflyknot.decisions.keyring import Keyring

MAX_STATEMENT_AGE_S = 5.0


@dataclass(frozen=True, slots=True)
class StoreStatement:
    """Hold what a witness knows of the store.

    `is_out` means that its latest read failed, and was made within the last
    few seconds. `sequence` is the version of its replica of the keys.
    `announced` are the hashes of keys whose withdrawal was announced to it
    but is not yet confirmed by the table.
    """

    is_out: bool
    sequence: int
    announced: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _ReceivedStatement:
    statement: StoreStatement
    asked_at: float


class OutageWitnesses:
    """Collect the statements of the daemons in the store's region."""

    def __init__(self) -> None:
        """Start without witnesses, so that no outage can be confirmed."""
        self._hosts: frozenset[str] = frozenset()
        self._statements_by_host: dict[str, _ReceivedStatement] = {}

    @property
    def hosts(self) -> frozenset[str]:
        """Return the hosts of the witnesses."""
        return self._hosts

    @property
    def majority(self) -> int:
        """Return the number of witnesses that must agree."""
        return len(self._hosts) // 2 + 1

    def replace_hosts(self, hosts: Iterable[str]) -> None:
        """Set all daemons of the store's region as witnesses, even if down."""
        self._hosts = frozenset(hosts)
        self._statements_by_host = {
            host: received
            for host, received in self._statements_by_host.items()
            if host in self._hosts
        }

    def record_statement(
        self, host: str, statement: StoreStatement, asked_at: float
    ) -> None:
        """Record the response to a request sent at `asked_at`."""
        previous = self._statements_by_host.get(host)
        if host not in self._hosts:
            return
        if previous is None or previous.asked_at < asked_at:
            self._statements_by_host[host] = _ReceivedStatement(
                statement, asked_at
            )

    def confirmed_until(self, keyring: Keyring, now: float) -> float | None:
        """Return the time up to which a majority confirms the outage.

        Return None without a majority, or if any witness has read the store
        or knows of a change that the requester's replica lacks.
        """
        recent = [
            received
            for received in self._statements_by_host.values()
            if now - received.asked_at <= MAX_STATEMENT_AGE_S
        ]
        if any(
            _contradicts_outage(received.statement, keyring)
            for received in recent
        ):
            return None
        request_times = sorted(
            (received.asked_at for received in recent), reverse=True
        )
        if not request_times or len(request_times) < self.majority:
            return None
        return request_times[self.majority - 1]


def _contradicts_outage(statement: StoreStatement, keyring: Keyring) -> bool:
    if not statement.is_out or statement.sequence > keyring.sequence:
        return True
    return not all(map(keyring.has_withdrawn, statement.announced))
