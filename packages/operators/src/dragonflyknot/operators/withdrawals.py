"""Announce the withdrawal of a key to the fleet before it is written.

While the store is out, daemons go by the word of those in the store's
region that no withdrawal is under way. So a majority of these is told of
one before the table has it, by way of any daemon's operators' listener:
`POST /withdrawals` with a `WithdrawalNotice`, answered with a
`NoticeAnswer`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

WITHDRAWALS_PATH: Final = '/withdrawals'
NOTICE_DEADLINE_S: Final = 3.0


class WithdrawalNotice(BaseModel):
    """Name the key that is being withdrawn by its SHA-256."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    key_hash: str = Field(pattern='^[0-9a-f]{64}$')


class NoticeAnswer(BaseModel):
    """Count the daemons that took in a notice and those that have to."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    told: int
    needed: int


@dataclass(frozen=True, slots=True)
class Announcement:
    """Say how far a withdrawal was announced; `asked` counts daemons."""

    asked: int = 0
    told: int = 0
    needed: int = 0

    @property
    def is_enough(self) -> bool:
        """Say whether a majority in the store's region knows."""
        return self.needed > 0 and self.told >= self.needed

    def __str__(self) -> str:
        if self.is_enough:
            return f'{self.told} daemons of the store region knew at once.'
        return (
            f'Only {self.told} of {self.needed} daemons of the store region'
            ' were told; if the store goes out within seconds, run this again'
            ' with --daemons of that region, or the key may work on there.'
        )


async def announce(addresses: Iterable[str], key_hash: str) -> Announcement:
    """Announce by the first daemon that reaches enough of the others."""
    best = Announcement()
    notice = WithdrawalNotice(key_hash=key_hash)
    timeout = aiohttp.ClientTimeout(total=NOTICE_DEADLINE_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        remaining = list(addresses)
        while remaining and not best.is_enough:
            answer = await _post(session, remaining.pop(0), notice)
            best = _better(best, answer)
    return best


def _better(best: Announcement, answer: NoticeAnswer | None) -> Announcement:
    asked = best.asked + 1
    if answer is None or answer.told < best.told:
        return Announcement(asked, best.told, best.needed)
    return Announcement(asked, answer.told, answer.needed)


async def _post(
    session: aiohttp.ClientSession, address: str, notice: WithdrawalNotice
) -> NoticeAnswer | None:
    url = f'http://{address}{WITHDRAWALS_PATH}'
    try:
        async with session.post(url, json=notice.model_dump()) as response:
            response.raise_for_status()
            return NoticeAnswer.model_validate_json(await response.read())
    except (aiohttp.ClientError, TimeoutError, ValidationError):
        return None
