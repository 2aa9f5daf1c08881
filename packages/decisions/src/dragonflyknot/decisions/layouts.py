"""Which shards mint for which workspace.

A workspace with a small burst is minted by few shards, so that its tokens
do not lie about in fractions. The number of shards follows the burst, so a
revision may change the layout while some daemons still follow the old one.
A holder therefore mints the smallest share of all layouts that were in
force since it last knew that all shard rows named the same layout.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256

from dragonflyknot.decisions.buckets import LENDER_VALIDITY_S
from dragonflyknot.decisions.document import OPEN_WORKSPACE, Configuration
from dragonflyknot.decisions.placement import stable_hash

_DIGEST_CHARS = 16


@dataclass(frozen=True, slots=True)
class Layout:
    """Hold the shards of every workspace, by name."""

    digest: str
    shards_by_workspace: Mapping[str, frozenset[int]]

    def share(self, workspace: str, shard: int) -> float:
        """Return the part of the rate and burst that a shard mints."""
        shards = self.shards_by_workspace.get(workspace, frozenset())
        return 1 / len(shards) if shard in shards else 0


def layout_of(
    configuration: Configuration, shards: int, tokens_per_shard: int
) -> Layout:
    """Return the layout that follows from the bursts of a configuration.

    Each of a workspace's shards has at least `tokens_per_shard` of its
    burst, unless one shard has it all.
    """
    bursts = {
        name: workspace.burst
        for name, workspace in configuration.workspaces_by_name.items()
    }
    bursts[OPEN_WORKSPACE] = configuration.open_burst
    counts = {
        name: max(1, min(shards, int(burst // tokens_per_shard)))
        for name, burst in bursts.items()
    }
    text = '\n'.join(f'{name}\t{counts[name]}' for name in sorted(counts))
    return Layout(
        sha256(text.encode()).hexdigest()[:_DIGEST_CHARS],
        {name: _choose(name, count, shards) for name, count in counts.items()},
    )


@dataclass(slots=True)
class _Tenure:
    """Track what one held shard may mint, and since when."""

    starts_at: float
    layouts: tuple[Layout, ...] = ()


class Shares:
    """Decide what part of each workspace the held shards mint.

    A shard mints nothing before a layout was confirmed since it was gained.
    A larger share counts only from `LENDER_VALIDITY_S` after that, because
    grants of those who minted it before may be spent until then.
    """

    def __init__(self) -> None:
        self._layout: Layout | None = None
        self._tenures_by_shard: dict[int, _Tenure] = {}
        self._due_at: float | None = None

    @property
    def layout(self) -> Layout | None:
        """Return the layout of the configuration in force here."""
        return self._layout

    @property
    def shards(self) -> frozenset[int]:
        """Return the held shards."""
        return frozenset(self._tenures_by_shard)

    def gain(self, shard: int, now: float) -> None:
        """Begin to hold a shard."""
        tenure = _Tenure(now + LENDER_VALIDITY_S)
        self._tenures_by_shard[shard] = tenure
        self._due_at = None

    def lose(self, shard: int) -> None:
        """End to hold a shard."""
        self._tenures_by_shard.pop(shard, None)

    def install(self, layout: Layout) -> None:
        """Mint no more than a new layout allows, from now on."""
        if self._layout is not None and self._layout.digest == layout.digest:
            return
        self._layout = layout
        self._due_at = None
        for tenure in self._tenures_by_shard.values():
            if tenure.layouts:
                tenure.layouts = (*tenure.layouts, layout)

    def confirm(self, digest: str, now: float) -> None:
        """Learn that all shard rows name a layout."""
        if self._layout is None or self._layout.digest != digest:
            return
        if self._due_at is None and self._is_behind():
            self._due_at = now + LENDER_VALIDITY_S

    def advance(self, now: float) -> bool:
        """Let confirmed shares count once it is time; tell of a change."""
        if self._due_at is None or now < self._due_at or self._layout is None:
            return False
        for tenure in self._tenures_by_shard.values():
            if tenure.layouts != (self._layout,):
                tenure.layouts = (self._layout,)
                tenure.starts_at = max(tenure.starts_at, self._due_at)
        self._due_at = None
        return True

    def share(self, workspace: str, shard: int) -> float:
        """Return the part of a workspace that a held shard mints."""
        tenure = self._tenures_by_shard[shard]
        return min(
            (layout.share(workspace, shard) for layout in tenure.layouts),
            default=0,
        )

    def starts_at(self, shard: int) -> float:
        """Return since when the present share of a held shard counts."""
        return self._tenures_by_shard[shard].starts_at

    def _is_behind(self) -> bool:
        return any(
            tenure.layouts != (self._layout,)
            for tenure in self._tenures_by_shard.values()
        )


def _choose(workspace: str, count: int, shards: int) -> frozenset[int]:
    """Choose shards in an order that takes even and odd ones in turn."""
    ranked = sorted(
        range(shards), key=lambda shard: stable_hash(f'{workspace}/{shard}')
    )
    even = [shard for shard in ranked if shard % 2 == 0]
    odd = [shard for shard in ranked if shard % 2]
    turns = sorted(
        [*enumerate(even), *enumerate(odd)], key=lambda turn: turn[0]
    )
    return frozenset(shard for _, shard in turns[:count])
