"""Idempotency keys that a daemon guards in its own memory.

A ticket names its guard, the guard's incarnation and the epoch in which it
was issued. Whether it was spent is known to that process alone, so that no
store is needed; once the guard or the epoch is gone the outcome is unknown
and the operation does not run again.
"""

from dataclasses import dataclass

EPOCH_S = 60.0
KEPT_EPOCHS = 15
FULL_EPOCH_TICKETS = 8192
_PREFIX = 'ticket'
_PARTS = 5


@dataclass(frozen=True, slots=True)
class Ticket:
    """Name the guard of an operation and the operation itself."""

    host: str
    incarnation: int
    epoch: int
    serial: str

    def __str__(self) -> str:
        """Return the idempotency key that a caller sends."""
        return (
            f'{_PREFIX}:{self.host}:{self.incarnation}:{self.epoch}'
            f':{self.serial}'
        )


@dataclass(frozen=True, slots=True)
class Spending:
    """Ask to spend a ticket for one request, named by its nonce."""

    ticket: Ticket
    workspace: str
    nonce: str


@dataclass(frozen=True, slots=True)
class TicketWon:
    """Let the request run its operation."""


@dataclass(frozen=True, slots=True)
class TicketTaken:
    """Refuse the request; its operation ran or may have run."""


@dataclass(frozen=True, slots=True)
class TicketUnknown:
    """Refuse the request; nobody knows whether its operation ran."""


TicketAnswer = TicketWon | TicketTaken | TicketUnknown


@dataclass(frozen=True, slots=True)
class _Spent:
    nonce: str
    is_released: bool = False


class TicketGuard:
    """Remember which of a daemon's tickets were spent, and by whom."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        full_epoch: int = FULL_EPOCH_TICKETS,
    ) -> None:
        """Guard the tickets of one process."""
        self._host = host
        self._incarnation = incarnation
        self._full_epoch = full_epoch
        self._epoch = 0
        self._epoch_end: float | None = None
        self._spent_by_epoch: dict[int, dict[tuple[str, str], _Spent]] = {0: {}}

    def __len__(self) -> int:
        """Return the number of tickets that are remembered."""
        return sum(len(spent) for spent in self._spent_by_epoch.values())

    def issue(self, serial: str, now: float) -> Ticket:
        """Return a ticket; `serial` must be unique in this process."""
        self._advance(now)
        return Ticket(self._host, self._incarnation, self._epoch, serial)

    def spend(self, spending: Spending, now: float) -> TicketAnswer:
        """Decide whether a request may run; asked twice, answer alike."""
        self._advance(now)
        spent_by_serial = self._spent_of(spending.ticket)
        if spent_by_serial is None:
            return TicketUnknown()
        name = (spending.workspace, spending.ticket.serial)
        known = spent_by_serial.get(name)
        if known is None or _frees(known, spending):
            spent_by_serial[name] = _Spent(spending.nonce)
            return TicketWon()
        if known.nonce == spending.nonce and not known.is_released:
            return TicketWon()
        return TicketTaken()

    def release(self, spending: Spending) -> None:
        """Note that the request that spent a ticket did not run."""
        spent_by_serial = self._spent_of(spending.ticket)
        name = (spending.workspace, spending.ticket.serial)
        if spent_by_serial is None or name not in spent_by_serial:
            return
        if spent_by_serial[name].nonce == spending.nonce:
            spent_by_serial[name] = _Spent(spending.nonce, is_released=True)

    def _spent_of(self, ticket: Ticket) -> dict[tuple[str, str], _Spent] | None:
        own = (self._host, self._incarnation)
        if (ticket.host, ticket.incarnation) != own:
            return None
        return self._spent_by_epoch.get(ticket.epoch)

    def _advance(self, now: float) -> None:
        if self._epoch_end is None:
            self._epoch_end = now + EPOCH_S
        is_full = len(self._spent_by_epoch[self._epoch]) >= self._full_epoch
        if now < self._epoch_end and not is_full:
            return
        self._epoch += 1
        self._epoch_end = now + EPOCH_S
        self._spent_by_epoch[self._epoch] = {}
        self._spent_by_epoch.pop(self._epoch - KEPT_EPOCHS, None)


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket in an idempotency key, or None in any other."""
    parts = text.split(':')
    if len(parts) != _PARTS or parts[0] != _PREFIX:
        return None
    host, incarnation, epoch, serial = parts[1:]
    if not (_is_number(incarnation) and _is_number(epoch)):
        return None
    return Ticket(host, int(incarnation), int(epoch), serial)


def _frees(known: _Spent, spending: Spending) -> bool:
    return known.is_released and known.nonce != spending.nonce


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) < 20
