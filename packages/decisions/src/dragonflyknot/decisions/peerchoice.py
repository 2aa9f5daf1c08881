"""Choose whom to gossip with, mostly near and seldom over the slow link."""

from collections.abc import Iterable
from typing import TypeVar

from dragonflyknot.decisions.members import Member
from dragonflyknot.decisions.randomness import Randomness

FAR_SHARE = 0.1
"""Share of the messages that go to other regions."""

OWN_DATA_CENTER_SHARE = 0.6
"""Share of the messages that stay in the data centre."""

_Item = TypeVar('_Item')


def choose_peer(
    own: Member, candidates: Iterable[Member], rng: Randomness
) -> Member | None:
    """Return a candidate, drawn first by distance and then evenly."""
    tiers: tuple[list[Member], list[Member], list[Member]] = ([], [], [])
    for member in candidates:
        if member.host != own.host:
            tiers[_distance(own, member)].append(member)
    wanted = _draw_distance(rng)
    for distance in (wanted, 0, 1, 2):
        if tiers[distance]:
            return pick(tiers[distance], rng)
    return None


def pick(items: list[_Item], rng: Randomness) -> _Item:
    """Return one of the items, drawn evenly."""
    return items[rng.randrange(len(items))]


def _distance(own: Member, member: Member) -> int:
    if member.data_center == own.data_center:
        return 0
    return 1 if member.region == own.region else 2


def _draw_distance(rng: Randomness) -> int:
    share = rng.random()
    if share < FAR_SHARE:
        return 2
    return 0 if share < FAR_SHARE + OWN_DATA_CENTER_SHARE else 1
