"""Hold what the upstream of this host announces about itself.

The upstream renews its announcement; without renewal it expires.
"""

from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from result import Err, Ok, Result

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import MAX_SLOTS
from dragonflyknot.exchange.addresses import has_port

ANNOUNCEMENT_TTL_S = 3.0

_Service = Annotated[str, Field(min_length=1, max_length=64)]
_Slots = Annotated[int, Field(ge=0, le=MAX_SLOTS)]


def _with_port(address: str) -> str:
    if not has_port(address):
        raise ValueError('give a port from 1 to 65535')
    return address


_Address = Annotated[
    str,
    Field(pattern=r'^[0-9A-Fa-f.:\[\]]+:\d{1,5}$'),
    AfterValidator(_with_port),
]


class Announcement(BaseModel):
    """Validate an announcement: service, slots, state, address (IP:port)."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    service: _Service
    slots: _Slots
    state: UpstreamState
    address: _Address


def parse_announcement(body: bytes) -> Result[Announcement, str]:
    """Return the announcement, or an error message that lists its faults."""
    try:
        return Ok(Announcement.model_validate_json(body))
    except ValidationError as error:
        faults = '; '.join(_fault_lines(error))
        return Err(f'Correct the announcement and send it again: {faults}')


class AnnouncementCache:
    """Hold the latest announcement until it expires."""

    def __init__(self) -> None:
        """Start without an announcement."""
        self._announcement: Announcement | None = None
        self._renewed_at: float = 0

    def renew(self, announcement: Announcement, now: float) -> None:
        """Store an announcement for `ANNOUNCEMENT_TTL_S` seconds."""
        self._announcement = announcement
        self._renewed_at = now

    def current(self, now: float) -> Announcement | None:
        """Return the announcement in force, or None if it has expired."""
        if (
            self._announcement is None
            or now - self._renewed_at > ANNOUNCEMENT_TTL_S
        ):
            return None
        return self._announcement


def _fault_lines(error: ValidationError) -> list[str]:
    lines = []
    for fault in error.errors(include_input=False, include_url=False):
        location = '.'.join(map(str, fault['loc']))
        reason = fault['msg']
        lines.append(f'{location}: {reason}')
    return lines
