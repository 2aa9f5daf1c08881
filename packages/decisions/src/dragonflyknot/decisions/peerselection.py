"""Select gossip peers at random, preferring near ones.

Few messages go to other regions, over the slow link.
"""

from collections.abc import Iterable
from typing import TypeVar

from dragonflyknot.decisions.members import Member
from dragonflyknot.decisions.randomness import Randomness

OTHER_REGION_SHARE = 0.1
"""Share of the messages that go to other regions."""

SAME_DATA_CENTER_SHARE = 0.6
"""Share of the messages that stay in the data centre."""

_Item = TypeVar('_Item')


def choose_peer(
    own: Member, candidates: Iterable[Member], rng: Randomness
) -> Member | None:
    """Return a random candidate, or None if there is none but `own`.

    A distance is drawn first, then a candidate at that distance with equal
    probability. If none is there, the nearest distance is used.
    """
    tiers: tuple[list[Member], list[Member], list[Member]] = ([], [], [])
    for member in candidates:
        if member.host != own.host:
            tiers[_distance(own, member)].append(member)
    preferred = _draw_distance(rng)
    for distance in (preferred, 0, 1, 2):
        if tiers[distance]:
            return pick_random(tiers[distance], rng)
    return None


def pick_random(items: list[_Item], rng: Randomness) -> _Item:
    """Return a random item, each with equal probability."""
    return items[rng.randrange(len(items))]


def _distance(own: Member, member: Member) -> int:
    if member.data_center == own.data_center:
        return 0
    return 1 if member.region == own.region else 2


def _draw_distance(rng: Randomness) -> int:
    drawn = rng.random()
    if drawn < OTHER_REGION_SHARE:
        return 2
    return 0 if drawn < OTHER_REGION_SHARE + SAME_DATA_CENTER_SHARE else 1
