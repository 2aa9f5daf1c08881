"""The assignment of workspaces to the shards that issue their tokens.

A workspace with a small burst is assigned to few shards, so that its tokens
are not split into unusable fractions. The number of shards depends on the
burst, so a revision may change the layout while some daemons still follow the
old one. A holder therefore issues the smallest share of all layouts that were
in force since it last saw all shard rows name the same layout.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256

from dragonflyknot.decisions.buckets import HOLDER_GRANT_VALIDITY_S
from dragonflyknot.decisions.document import OPEN_WORKSPACE, Configuration
from dragonflyknot.decisions.placement import stable_hash

_DIGEST_CHARS = 16


@dataclass(frozen=True, slots=True)
class Layout:
    """Map each workspace to the shards that issue its tokens."""

    digest: str
    shards_by_workspace: Mapping[str, frozenset[int]]

    def share(self, workspace: str, shard: int) -> float:
        """Return the fraction of the rate and burst that a shard issues."""
        shards = self.shards_by_workspace.get(workspace, frozenset())
        return 1 / len(shards) if shard in shards else 0


def compute_layout(
    configuration: Configuration, shards: int, min_tokens_per_shard: int
) -> Layout:
    """Return the layout that follows from the bursts of a configuration.

    Each shard of a workspace has at least `min_tokens_per_shard` tokens of its
    burst, unless a single shard has all of it.
    """
    bursts = {
        name: workspace.burst
        for name, workspace in configuration.workspaces_by_name.items()
    }
    bursts[OPEN_WORKSPACE] = configuration.open_burst
    counts = {
        name: max(1, min(shards, int(burst // min_tokens_per_shard)))
        for name, burst in bursts.items()
    }
    text = '\n'.join(f'{name}\t{counts[name]}' for name in sorted(counts))
    return Layout(
        sha256(text.encode()).hexdigest()[:_DIGEST_CHARS],
        {
            name: _choose_shards(name, count, shards)
            for name, count in counts.items()
        },
    )


@dataclass(slots=True)
class _HeldShard:
    """Track the layouts that limit a held shard, and since when."""

    starts_at: float
    layouts: tuple[Layout, ...] = ()


class ShardShares:
    """Decide the share of each workspace that the held shards issue.

    A shard issues nothing until a layout is confirmed after it was gained. A
    larger share takes effect only `HOLDER_GRANT_VALIDITY_S` after that, because
    grants of its previous holders may be spent until then.
    """

    def __init__(self) -> None:
        self._layout: Layout | None = None
        self._held_by_shard: dict[int, _HeldShard] = {}
        self._takes_effect_at: float | None = None

    @property
    def layout(self) -> Layout | None:
        """Return the layout of the configuration that this daemon follows."""
        return self._layout

    @property
    def shards(self) -> frozenset[int]:
        """Return the held shards."""
        return frozenset(self._held_by_shard)

    def gain(self, shard: int, now: float) -> None:
        """Start to hold a shard."""
        held = _HeldShard(now + HOLDER_GRANT_VALIDITY_S)
        self._held_by_shard[shard] = held
        self._takes_effect_at = None

    def lose(self, shard: int) -> None:
        """Stop holding a shard."""
        self._held_by_shard.pop(shard, None)

    def install(self, layout: Layout) -> None:
        """Issue no more than a new layout allows, from now on."""
        if self._layout is not None and self._layout.digest == layout.digest:
            return
        self._layout = layout
        self._takes_effect_at = None
        for held in self._held_by_shard.values():
            if held.layouts:
                held.layouts = (*held.layouts, layout)

    def confirm(self, digest: str, now: float) -> None:
        """Schedule a layout that all shard rows name to take effect."""
        if self._layout is None or self._layout.digest != digest:
            return
        if self._takes_effect_at is None and self._needs_confirmation():
            self._takes_effect_at = now + HOLDER_GRANT_VALIDITY_S

    def apply_due_layout(self, now: float) -> bool:
        """Apply the confirmed layout once it is due; return whether it was."""
        if (
            self._takes_effect_at is None
            or now < self._takes_effect_at
            or self._layout is None
        ):
            return False
        for held in self._held_by_shard.values():
            if held.layouts != (self._layout,):
                held.layouts = (self._layout,)
                held.starts_at = max(held.starts_at, self._takes_effect_at)
        self._takes_effect_at = None
        return True

    def share(self, workspace: str, shard: int) -> float:
        """Return the fraction of a workspace that a held shard issues."""
        held = self._held_by_shard[shard]
        return min(
            (layout.share(workspace, shard) for layout in held.layouts),
            default=0,
        )

    def starts_at(self, shard: int) -> float:
        """Return the time from which the share of a held shard counts."""
        return self._held_by_shard[shard].starts_at

    def _needs_confirmation(self) -> bool:
        return any(
            held.layouts != (self._layout,)
            for held in self._held_by_shard.values()
        )


def _choose_shards(workspace: str, count: int, shards: int) -> frozenset[int]:
    """Choose shards, alternating between even and odd ones."""
    ranked = sorted(
        range(shards), key=lambda shard: stable_hash(f'{workspace}/{shard}')
    )
    even = [shard for shard in ranked if shard % 2 == 0]
    odd = [shard for shard in ranked if shard % 2]
    alternating = sorted(
        [*enumerate(even), *enumerate(odd)],
        key=lambda ranked_shard: ranked_shard[0],
    )
    return frozenset(shard for _, shard in alternating[:count])
