"""Idempotency keys that a daemon issues and tracks in its own memory.

A ticket identifies the daemon that issued it (its guard), the guard's
incarnation and the epoch of issue. Only that process knows whether the
ticket was spent, so no store is needed. Once the process has ended or the
epoch has expired, the outcome is unknown and the operation does not run
again.
"""

from dataclasses import dataclass

MAX_EPOCH_S = 60.0
RETAINED_EPOCHS = 15
MAX_EPOCH_TICKETS = 8192
_PREFIX = 'ticket'
_PARTS = 5


@dataclass(frozen=True, slots=True)
class Ticket:
    """Identify an operation and the guard that tracks it."""

    host: str
    incarnation: int
    epoch: int
    serial: str

    def __str__(self) -> str:
        """Return the ticket as the idempotency key that callers send."""
        return (
            f'{_PREFIX}:{self.host}:{self.incarnation}:{self.epoch}'
            f':{self.serial}'
        )


@dataclass(frozen=True, slots=True)
class Spending:
    """Request to spend a ticket for the request with this nonce."""

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
    """Refuse the request; whether its operation ran is unknown."""


TicketAnswer = TicketWon | TicketTaken | TicketUnknown


@dataclass(frozen=True, slots=True)
class _Spent:
    nonce: str
    is_released: bool = False


class TicketGuard:
    """Issue a daemon's tickets and record which requests spent them."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        max_epoch_tickets: int = MAX_EPOCH_TICKETS,
    ) -> None:
        """Start empty; `max_epoch_tickets` ends an epoch early."""
        self._host = host
        self._incarnation = incarnation
        self._max_epoch_tickets = max_epoch_tickets
        self._epoch = 0
        self._epoch_end: float | None = None
        self._spent_by_epoch: dict[int, dict[tuple[str, str], _Spent]] = {0: {}}

    def __len__(self) -> int:
        """Return the number of spent tickets that are recorded."""
        return sum(len(spent) for spent in self._spent_by_epoch.values())

    def issue(self, serial: str, now: float) -> Ticket:
        """Return a new ticket; `serial` must be unique in this process."""
        self._advance_epoch(now)
        return Ticket(self._host, self._incarnation, self._epoch, serial)

    def spend(self, spending: Spending, now: float) -> TicketAnswer:
        """Decide whether a request may run; idempotent for a nonce."""
        self._advance_epoch(now)
        spent_by_serial = self._spent_in_epoch_of(spending.ticket)
        if spent_by_serial is None:
            return TicketUnknown()
        operation = (spending.workspace, spending.ticket.serial)
        previous = spent_by_serial.get(operation)
        if previous is None or _is_reusable(previous, spending):
            spent_by_serial[operation] = _Spent(spending.nonce)
            return TicketWon()
        if previous.nonce == spending.nonce and not previous.is_released:
            return TicketWon()
        return TicketTaken()

    def release(self, spending: Spending) -> None:
        """Record that the request that spent a ticket did not run."""
        spent_by_serial = self._spent_in_epoch_of(spending.ticket)
        operation = (spending.workspace, spending.ticket.serial)
        if spent_by_serial is None or operation not in spent_by_serial:
            return
        if spent_by_serial[operation].nonce == spending.nonce:
            spent_by_serial[operation] = _Spent(
                spending.nonce, is_released=True
            )

    def _spent_in_epoch_of(
        self, ticket: Ticket
    ) -> dict[tuple[str, str], _Spent] | None:
        own_process = (self._host, self._incarnation)
        if (ticket.host, ticket.incarnation) != own_process:
            return None
        return self._spent_by_epoch.get(ticket.epoch)

    def _advance_epoch(self, now: float) -> None:
        if self._epoch_end is None:
            self._epoch_end = now + MAX_EPOCH_S
        is_full = (
            len(self._spent_by_epoch[self._epoch]) >= self._max_epoch_tickets
        )
        if now < self._epoch_end and not is_full:
            return
        self._epoch += 1
        self._epoch_end = now + MAX_EPOCH_S
        self._spent_by_epoch[self._epoch] = {}
        self._spent_by_epoch.pop(self._epoch - RETAINED_EPOCHS, None)


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket in an idempotency key, or None if it is not one."""
    parts = text.split(':')
    if len(parts) != _PARTS or parts[0] != _PREFIX:
        return None
    host, incarnation, epoch, serial = parts[1:]
    if not (_is_number(incarnation) and _is_number(epoch)):
        return None
    return Ticket(host, int(incarnation), int(epoch), serial)


def _is_reusable(previous: _Spent, spending: Spending) -> bool:
    return previous.is_released and previous.nonce != spending.nonce


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) < 20
