"""Which holders an edge asks for tokens, and in which order.

An edge asks the holders of its own data centre before those of its region,
and those before the other regions; holders that were not asked for longest
come first, because they are the fullest. Where the demand is more than the
own region mints, all regions are asked alike, so that no bucket overflows
while another is empty.
"""

from collections.abc import Iterator

from dragonflyknot.decisions.accounts import Account
from dragonflyknot.decisions.layouts import Layout
from dragonflyknot.decisions.placement import stable_hash
from dragonflyknot.decisions.ratemessages import Holder

_NEAR_LOAD = 0.5


class HolderMap:
    """Keep the other holders of shards, the nearest first."""

    def __init__(self, host: str, data_center: str, region: str) -> None:
        self._host = host
        self._data_center = data_center
        self._region = region
        self._holders: tuple[Holder, ...] = ()

    def change(self, holders: tuple[Holder, ...]) -> None:
        """Ask these holders from now on."""
        others = [holder for holder in holders if holder.host != self._host]
        others.sort(key=self._distance)
        self._holders = tuple(others)

    def rings(
        self, account: Account, layout: Layout, now: float
    ) -> Iterator[list[Holder]]:
        """Give groups of holders that may be asked, one after the other."""
        near = tuple(
            holder for holder in self._holders if holder.region == self._region
        )
        part = sum(part_of(account, holder, layout) for holder in near)
        if account.demand > account.limits.rate * part * _NEAR_LOAD:
            yield _askable(account, self._holders, layout, now)
            return
        yield _askable(account, near, layout, now)
        far = self._holders[len(near) :]
        yield _askable(account, far, layout, now)

    def _distance(self, holder: Holder) -> tuple[bool, bool, int]:
        return (
            holder.region != self._region,
            holder.data_center != self._data_center,
            stable_hash(f'{self._host}/{holder.host}'),
        )


def part_of(account: Account, holder: Holder, layout: Layout) -> float:
    """Return the part of an account's workspace that a holder mints."""
    name = account.limits.name
    return sum(layout.share(name, shard) for shard in holder.shards)


def _askable(
    account: Account,
    holders: tuple[Holder, ...],
    layout: Layout,
    now: float,
) -> list[Holder]:
    askable = [
        holder
        for holder in holders
        if part_of(account, holder, layout) > 0
        and account.askable(holder.host, now)
    ]
    told_at = account.told_at_by_host
    askable.sort(key=lambda holder: told_at.get(holder.host, 0))
    return askable
