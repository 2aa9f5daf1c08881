"""Whether the store is out for everybody, as its own region sees it.

While the store is out no withdrawal can be accepted, so the copies of the
keys stay true. A daemon may take that from a majority of the daemons in the
store's region, each of which failed to read the store itself, holds no
more changes than the asker and knows of no withdrawal that is under way. A
withdrawal is announced to a majority of the same daemons before it is
written, so that the two majorities share one that knows of it.

A region that is cut off reaches no such majority, and its keys go stale.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dragonflyknot.decisions.keyring import Keyring

STATEMENT_KEPT_S = 5.0


@dataclass(frozen=True, slots=True)
class StoreStatement:
    """Tell how a witness last found the store.

    `is_out` says that its last read failed, and that it was made within
    some seconds. `sequence` is that of its copy of the keys, and `announced`
    are the keys whose withdrawal it was told of before the table had it.
    """

    is_out: bool
    sequence: int
    announced: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Heard:
    statement: StoreStatement
    asked_at: float


class OutageWitnesses:
    """Collect what the daemons in the store's region say."""

    def __init__(self) -> None:
        """Start without witnesses, so that nothing can be agreed."""
        self._hosts: frozenset[str] = frozenset()
        self._heard_by_host: dict[str, _Heard] = {}

    @property
    def hosts(self) -> frozenset[str]:
        """Return the daemons that are to be asked."""
        return self._hosts

    @property
    def majority(self) -> int:
        """Return how many witnesses decide."""
        return len(self._hosts) // 2 + 1

    def choose(self, hosts: Iterable[str]) -> None:
        """Name all daemons of the store's region, silent ones too."""
        self._hosts = frozenset(hosts)
        self._heard_by_host = {
            host: heard
            for host, heard in self._heard_by_host.items()
            if host in self._hosts
        }

    def hear(
        self, host: str, statement: StoreStatement, asked_at: float
    ) -> None:
        """Note an answer to a question sent at `asked_at`."""
        known = self._heard_by_host.get(host)
        if host not in self._hosts:
            return
        if known is None or known.asked_at < asked_at:
            self._heard_by_host[host] = _Heard(statement, asked_at)

    def agreed_at(self, keyring: Keyring, now: float) -> float | None:
        """Return the moment up to which a majority found the store out.

        Nothing is agreed while a witness has read the store or knows of a
        change that the asker's copy lacks.
        """
        recent = [
            heard
            for heard in self._heard_by_host.values()
            if now - heard.asked_at <= STATEMENT_KEPT_S
        ]
        if any(_objects(heard.statement, keyring) for heard in recent):
            return None
        asked = sorted((heard.asked_at for heard in recent), reverse=True)
        if not asked or len(asked) < self.majority:
            return None
        return asked[self.majority - 1]


def _objects(statement: StoreStatement, keyring: Keyring) -> bool:
    if not statement.is_out or statement.sequence > keyring.sequence:
        return True
    return not all(map(keyring.has_withdrawn, statement.announced))
