"""Errors of the platform's services, with the remedy in the message.

A failed write differs in what is known of it: `Unavailable` and `Rejected`
were not applied, `ConditionFailed` was not applied because a row had
changed, and `AnswerLost` may have been applied.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflyknot.stores.writes import Row, RowKey


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Say that a service did not answer and that nothing was written."""

    service: str
    reason: str

    def __str__(self) -> str:
        return (
            f'The {self.service} is out ({self.reason}); check its endpoint'
            ' setting and its state, then try again.'
        )


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Say that a write was sent and that its effect is not known."""

    service: str
    reason: str

    def __str__(self) -> str:
        return (
            f'The {self.service} did not say whether it wrote ({self.reason});'
            ' read the rows back before writing again.'
        )


@dataclass(frozen=True, slots=True)
class Rejected:
    """Say that a service refused a call as such."""

    service: str
    code: str

    def __str__(self) -> str:
        return (
            f'The {self.service} refused the call with {self.code}; check the'
            ' credentials, the region and the names of table and bucket.'
        )


@dataclass(frozen=True, slots=True)
class Conflict:
    """Hold the present row (or none) where a condition did not hold."""

    key: 'RowKey'
    current: 'Row | None'


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """Say which rows had changed; nothing was written."""

    conflicts: tuple[Conflict, ...]

    @property
    def current(self) -> 'Row | None':
        """Return the present row of the first conflict."""
        return self.conflicts[0].current

    def __str__(self) -> str:
        keys = ', '.join(str(conflict.key) for conflict in self.conflicts)
        return f'Another writer changed {keys}; read again and decide anew.'


PlatformError = Unavailable | AnswerLost | Rejected | ConditionFailed
ReadError = Unavailable | Rejected
