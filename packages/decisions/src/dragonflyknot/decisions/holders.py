"""The order in which an edge requests tokens from the holders of shards.

An edge asks the holders in its own region before those in other regions.
Among these, the holder that was asked least recently comes first, because its
buckets are the fullest; otherwise the edge's own data centre comes first.
Where the demand exceeds a fixed ratio of the rate that the edge's region
issues, the holders of all regions are treated alike, so that no bucket
overflows while another is empty.
"""

from collections.abc import Iterator

from dragonflyknot.decisions.layouts import Layout
from dragonflyknot.decisions.placement import stable_hash
from dragonflyknot.decisions.ratemessages import Holder
from dragonflyknot.decisions.workspacelimiter import WorkspaceLimiter

_MAX_LOCAL_LOAD_RATIO = 0.5


class HolderSelector:
    """Keep the other holders of shards, nearest first."""

    def __init__(self, host: str, data_center: str, region: str) -> None:
        self._host = host
        self._data_center = data_center
        self._region = region
        self._holders: tuple[Holder, ...] = ()

    def update_holders(self, holders: tuple[Holder, ...]) -> None:
        """Replace the known holders."""
        others = [holder for holder in holders if holder.host != self._host]
        others.sort(key=self._distance)
        self._holders = tuple(others)

    def tiers(
        self, limiter: WorkspaceLimiter, layout: Layout, now: float
    ) -> Iterator[list[Holder]]:
        """Yield the groups of holders that may be asked, in order."""
        local = tuple(
            holder for holder in self._holders if holder.region == self._region
        )
        share = sum(holder_share(limiter, holder, layout) for holder in local)
        if limiter.demand > limiter.limits.rate * share * _MAX_LOCAL_LOAD_RATIO:
            yield _available_holders(limiter, self._holders, layout, now)
            return
        yield _available_holders(limiter, local, layout, now)
        remote = self._holders[len(local) :]
        yield _available_holders(limiter, remote, layout, now)

    def _distance(self, holder: Holder) -> tuple[bool, bool, int]:
        return (
            holder.region != self._region,
            holder.data_center != self._data_center,
            stable_hash(f'{self._host}/{holder.host}'),
        )


def holder_share(
    limiter: WorkspaceLimiter, holder: Holder, layout: Layout
) -> float:
    """Return the share of a workspace's tokens that a holder issues."""
    name = limiter.limits.name
    return sum(layout.share(name, shard) for shard in holder.shards)


def _available_holders(
    limiter: WorkspaceLimiter,
    holders: tuple[Holder, ...],
    layout: Layout,
    now: float,
) -> list[Holder]:
    available = [
        holder
        for holder in holders
        if holder_share(limiter, holder, layout) > 0
        and limiter.may_request_from(holder.host, now)
    ]
    last_sent_at = limiter.last_sent_at_by_host
    available.sort(key=lambda holder: last_sent_at.get(holder.host, 0))
    return available
