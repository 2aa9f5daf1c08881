"""Wait until a revision is in force on every live daemon.

A daemon says so in its dump, or its peers say it of a daemon that gave none.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from dragonflyknot.operators.gather import Gatherer
from dragonflyknot.operators.snapshot import Gathered

POLL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class InForce:
    """Say where a revision is in force, where not, and who is silent."""

    number: int
    hosts: tuple[str, ...]
    behind: Mapping[str, int]
    silent: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Say whether every daemon has answered with the revision."""
        return bool(self.hosts) and not (self.behind or self.silent)

    def __str__(self) -> str:
        if self.everywhere:
            return (
                f'Revision {self.number} is in force on all'
                f' {len(self.hosts)} live daemons.'
            )
        behind = ', '.join(
            f'{host} (at {number})' for host, number in self.behind.items()
        )
        return (
            f'Revision {self.number} is accepted and in force on'
            f' {len(self.hosts)} daemons. Behind: {behind or "none"}. Silent:'
            f' {", ".join(self.silent) or "none"}. Check these with'
            ' "dragonflyknot status"; they take it from their peers.'
        )


async def wait_in_force(
    addresses: tuple[str, ...], number: int, wait_s: float
) -> InForce:
    """Poll the daemons until all have the revision, or for `wait_s`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    async with Gatherer(addresses) as gatherer:
        found = _judged(number, await gatherer.gather())
        while not found.everywhere and loop.time() < end:
            await asyncio.sleep(POLL_S)
            found = _judged(number, await gatherer.gather())
    return found


def _judged(number: int, gathered: Gathered) -> InForce:
    number_by_host = {
        host: dump.revision.number
        for host, dump in gathered.dump_by_host.items()
    }
    number_by_host |= gathered.revision_by_unseen_host()
    behind = {
        host: found
        for host, found in sorted(number_by_host.items())
        if found < number
    }
    hosts = tuple(sorted(number_by_host.keys() - behind.keys()))
    return InForce(number, hosts, behind, gathered.silent)
