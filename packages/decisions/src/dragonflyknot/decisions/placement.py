"""Choose which daemons hold shards, and who is witness for whom.

Daemons with the same view make the same choice without a message. The
table's conditional writes settle the rest.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

_HASH_BYTES = 8
_NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a daemon that may hold shards.

    `daemon` names the process: its host and incarnation.
    """

    host: str
    daemon: str
    data_center: str
    region: str


def stable_hash(text: str) -> int:
    """Hash a text to the same number in every process."""
    digest = blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def select_candidates(
    members: Iterable[Candidate], limit: int
) -> tuple[Candidate, ...]:
    """Select at most `limit` members, as many from each region."""
    members_by_region: dict[str, list[Candidate]] = {}
    hashed = sorted(members, key=_hash_of_host)
    for member in hashed:
        members_by_region.setdefault(member.region, []).append(member)
    ranked = [
        (rank, region, one)
        for region, regional in members_by_region.items()
        for rank, one in enumerate(regional)
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return tuple(selected for _, _, selected in ranked[:limit])


def plan_shards(
    free: Iterable[int],
    counts_by_daemon: Mapping[str, int],
    candidates: tuple[Candidate, ...],
) -> dict[int, Candidate]:
    """Give each free shard to the candidate that holds the fewest.

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
    heard_at_by_silent: Mapping[str, float],
) -> Candidate | None:
    """Choose a witness near by, but in another data centre if possible.

    Of the silent ones, the longest silent is tried first.
    """
    ranked = [
        (
            heard_at_by_silent.get(candidate.daemon, _NEVER),
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


def _hash_of_host(candidate: Candidate) -> int:
    return stable_hash(candidate.host)
