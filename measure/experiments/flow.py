"""Admission, routing and retries under load, in virtual time.

Four targets of one service in two regions, with a fake upstream each, and
chains of services, under surges, floods, slow and cold upstreams and lying
reports. Every scenario runs twice: policies on, and the baseline.
"""

from dataclasses import dataclass, replace

from experiments.figures import Figures
from experiments.fleet import Fleet
from experiments.load import POOL, Callers, Wish
from experiments.policies import (
    POLICIES_OFF,
    POLICIES_ON,
    Policies,
    seeded,
)
from experiments.ratios import (
    goodput_ratio,
    important_ratio,
    recovery_seconds,
    worst_workspace_ratio,
)
from experiments.scenarios import SHARES_BY_HOST, Scenario, scenarios


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one finished run."""

    fleet: Fleet
    wishes: list[Wish]


def run(seed: int, quick: bool) -> tuple[Figures, ...]:
    """Run every scenario; return the figures of each."""
    return tuple(_pair(scenario, seed) for scenario in scenarios(quick))


def _pair(scenario: Scenario, seed: int) -> Figures:
    """Measure with the policies and without."""
    baseline = _measure(scenario, POLICIES_OFF, seed)
    return replace(_measure(scenario, POLICIES_ON, seed), baseline=baseline)


def _measure(scenario: Scenario, policies: Policies, seed: int) -> Figures:
    done = _run(scenario, policies, seed)
    meter = done.fleet.meter
    figures = Figures(
        scenario.name,
        priority_inversions=meter.inversions,
        retries_per_chain_max=meter.retries_max(),
        retries_per_chain_bound=POOL,
    )
    if scenario.name.startswith('chain'):
        return figures
    return _add_ratios(figures, scenario, done)


def _run(scenario: Scenario, policies: Policies, seed: int) -> Run:
    fleet = Fleet(policies, seeded(seed, 'fleet'))
    scenario.setup(fleet)
    fleet.gossip()
    shares = {
        host: share
        for host, share in SHARES_BY_HOST.items()
        if host in fleet.nodes_by_host
    }
    callers = Callers(fleet, seeded(seed, 'callers'), shares)
    callers.run(scenario.streams, scenario.window.end + scenario.tail_s)
    return Run(fleet, callers.wishes)


def _add_ratios(figures: Figures, scenario: Scenario, done: Run) -> Figures:
    wishes = done.wishes
    window = scenario.window
    slots = scenario.capacity_slots
    return replace(
        figures,
        goodput_ratio=goodput_ratio(wishes, window, slots),
        important_ratio=important_ratio(wishes, window),
        recovery_seconds=recovery_seconds(wishes, window.end),
        worst_workspace_ratio=worst_workspace_ratio(wishes, window, slots),
        link_bytes=done.fleet.link_bytes(),
    )
