"""Choose which daemons hold shards and which witness each holder has.

Daemons with the same membership view make the same choice without exchanging
messages. Conditional writes to the table resolve conflicting choices.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

_HASH_BYTES = 8
_NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a daemon that may hold shards.

    `daemon` identifies the process by its host and incarnation.
    """

    host: str
    daemon: str
    data_center: str
    region: str


def stable_hash(text: str) -> int:
    """Return a hash of a text that is the same in every process."""
    digest = blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def select_candidates(
    members: Iterable[Candidate], limit: int
) -> tuple[Candidate, ...]:
    """Select at most `limit` members, spread evenly over the regions."""
    members_by_region: dict[str, list[Candidate]] = {}
    by_hash = sorted(members, key=_host_hash)
    for member in by_hash:
        members_by_region.setdefault(member.region, []).append(member)
    ranked = [
        (rank, region, region_member)
        for region, region_members in members_by_region.items()
        for rank, region_member in enumerate(region_members)
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return tuple(selected for _, _, selected in ranked[:limit])


def plan_shards(
    free: Iterable[int],
    counts_by_daemon: Mapping[str, int],
    candidates: tuple[Candidate, ...],
) -> dict[int, Candidate]:
    """Assign each free shard to the candidate that holds the fewest.

    Shards alternate between the regions as far as the counts allow.
    """
    if not candidates:
        return {}
    counts = {
        candidate.daemon: counts_by_daemon.get(candidate.daemon, 0)
        for candidate in candidates
    }
    regions = sorted({candidate.region for candidate in candidates})
    planned: dict[int, Candidate] = {}
    for shard in free:
        region = regions[shard % len(regions)]
        ranked = [
            (
                counts[candidate.daemon],
                candidate.region != region,
                stable_hash(f'{candidate.host}/{shard}'),
                index,
            )
            for index, candidate in enumerate(candidates)
        ]
        chosen = candidates[min(ranked)[-1]]
        counts[chosen.daemon] += 1
        planned[shard] = chosen
    return planned


def choose_witness(
    me: Candidate,
    candidates: tuple[Candidate, ...],
    heard_at_by_silent_daemon: Mapping[str, float],
) -> Candidate | None:
    """Choose a witness in the same region but another data centre if possible.

    Daemons that have not been silent come first, then the longest silent.
    """
    ranked = [
        (
            heard_at_by_silent_daemon.get(candidate.daemon, _NEVER),
            candidate.region != me.region,
            candidate.data_center == me.data_center,
            stable_hash(f'{me.daemon}/{candidate.daemon}'),
            index,
        )
        for index, candidate in enumerate(candidates)
        if candidate.daemon != me.daemon
    ]
    if not ranked:
        return None
    return candidates[min(ranked)[-1]]


def _host_hash(candidate: Candidate) -> int:
    return stable_hash(candidate.host)
