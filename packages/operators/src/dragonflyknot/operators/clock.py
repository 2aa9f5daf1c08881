"""The time of day and the nonces of an operator's writes."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Final

NONCE_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class Clock:
    """Give the time of day as ISO 8601 in UTC, and nonces."""

    now: Callable[[], str]
    nonce: Callable[[], str]


def system_clock() -> Clock:
    """Return the clock of this machine."""
    return Clock(_now, _nonce)


def _now() -> str:
    return datetime.now(UTC).isoformat(timespec='seconds')


def _nonce() -> str:
    return secrets.token_hex(NONCE_BYTES)
