"""Figures taken from the wishes of callers."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from dragonflyknot.decisions.document import HIGHEST_PRIORITY
from experiments.load import Wish

BIN_S = 0.1
CALM_BINS = 3
CALM_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Window:
    """Name the time, in seconds, over which a figure is taken."""

    start: float
    end: float

    def has(self, moment: float | None) -> bool:
        """Return whether a moment lies inside."""
        return moment is not None and self.start <= moment < self.end

    def shifted(self, delay_s: float) -> 'Window':
        """Return the window as much later as an answer takes."""
        return Window(self.start + delay_s, self.end + delay_s)


def goodput_ratio(
    wishes: Sequence[Wish], window: Window, capacity_s: float
) -> float:
    """Return useful work over what the capacity or the offer allows.

    `capacity_s` is the work that the upstreams can do, in seconds of
    service time a second.
    """
    born = [wish for wish in wishes if window.has(wish.born)]
    offered = sum(wish.work_s[0] for wish in born)
    allowed = min(offered, capacity_s * (window.end - window.start))
    later = window.shifted(born[0].stream.mean_s)
    served = sum(wish.work_s[0] for wish in wishes if later.has(wish.served_at))
    return served / allowed


def important_ratio(wishes: Iterable[Wish], window: Window) -> float | None:
    """Return the share of the most important wishes that were served."""
    important = [
        wish
        for wish in wishes
        if wish.stream.priority == HIGHEST_PRIORITY and window.has(wish.born)
    ]
    if not important:
        return None
    served = sum(1 for wish in important if wish.served_at is not None)
    return served / len(important)


def recovery_seconds(wishes: Iterable[Wish], ended_at: float) -> float:
    """Return how long after its cause the overload was over.

    It is over when nearly all wishes of some bins in a row are served in
    their time.
    """
    bins: dict[int, list[bool]] = {}
    for wish in wishes:
        if wish.born >= ended_at:
            number = int((wish.born - ended_at) / BIN_S)
            bins.setdefault(number, []).append(_in_time(wish))
    calm = 0
    for number in range(max(bins) + 1):
        served = bins.get(number, [True])
        calm = calm + 1 if sum(served) >= CALM_SHARE * len(served) else 0
        if calm == CALM_BINS:
            return (number + 1 - CALM_BINS) * BIN_S
    return (max(bins) + 1) * BIN_S


def worst_workspace_ratio(
    wishes: Sequence[Wish], window: Window, capacity_s: float
) -> float:
    """Return the least share of its entitlement that a workspace got."""
    offered: dict[int, dict[str, float]] = {}
    served: dict[str, float] = {}
    for wish in wishes:
        if not window.has(wish.born):
            continue
        name = wish.stream.workspace
        level = offered.setdefault(wish.stream.priority, {})
        level[name] = level.get(name, 0) + wish.work_s[0]
        if wish.served_at is not None:
            served[name] = served.get(name, 0) + wish.work_s[0]
    entitled = _entitled(offered, capacity_s * (window.end - window.start))
    return min(
        served.get(workspace, 0) / share
        for workspace, share in entitled.items()
        if share
    )


def _entitled(
    offered: Mapping[int, Mapping[str, float]], left: float
) -> dict[str, float]:
    """Share the capacity by priority, evenly inside each priority."""
    entitled: dict[str, float] = {}
    for _, level in sorted(offered.items(), reverse=True):
        shares = _fill(level, left)
        left -= sum(shares.values())
        for workspace, share in shares.items():
            entitled[workspace] = entitled.get(workspace, 0) + share
    return entitled


def _fill(wanted: Mapping[str, float], total: float) -> dict[str, float]:
    """Share a total evenly, nobody getting more than is wanted."""
    shares: dict[str, float] = {}
    modest_first = sorted(wanted, key=wanted.__getitem__)
    while modest_first:
        even = max(0, total) / len(modest_first)
        workspace = modest_first.pop(0)
        shares[workspace] = min(wanted[workspace], even)
        total -= shares[workspace]
    return shares


def _in_time(wish: Wish) -> bool:
    limit_s = wish.stream.timeout_s
    return wish.served_at is not None and wish.served_at - wish.born <= limit_s
