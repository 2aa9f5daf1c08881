"""Rates over the fleet, against a rate split evenly over the daemons.

Sixteen daemons in two regions run the rate machines in virtual time. What
counts as within the rate is what one central bucket would have admitted of
the same requests. `measure_rates` also gives messages, waits and store
traffic; run this module to print them for several shards and leases.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from dragonflyknot.decisions.buckets import Bucket
from dragonflyknot.decisions.document import Configuration, Workspace
from dragonflyknot.decisions.leasemessages import LeaseSettings
from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.quota import QuotaSettings
from experiments.fakerates import Faults, window_overrun
from experiments.figures import Figures
from experiments.ratefleet import RateFleet

DAEMONS = 16
SETTLE_S = 10.0
SUSPICION_S = 3.0
FULL_S = 60.0
QUICK_S = 12.0
WORKSPACES = (Workspace('large', 400, 400), Workspace('small', 20, 20))


@dataclass(frozen=True, slots=True)
class Request:
    """Plan a request at a time, at the daemon of that number."""

    at: float
    daemon: int
    workspace: Workspace


@dataclass(frozen=True, slots=True)
class RateScenario:
    """Name a load and a fault; `load` is the offered part of the rate."""

    name: str
    load: float
    place: Callable[[Random, float], int]
    begin: Callable[[RateFleet], None] | None = None
    heal: Callable[[RateFleet], None] | None = None
    killed: int | None = None


@dataclass(frozen=True, slots=True)
class RateFigures:
    """Hold what a run gave; rates are for each daemon and second."""

    overrun: float
    refused_within_rate_ratio: float
    wait_p99_ms: float
    wait_longest_ms: float
    grants_per_s: float
    witness_asks_per_s: float
    store_writes: int
    store_reads: int


def run(seed: int, quick: bool) -> tuple[Figures, ...]:
    """Run every scenario; return the figures of each."""
    duration_s = QUICK_S if quick else FULL_S
    return tuple(_figures(scenario, seed, duration_s) for scenario in SCENARIOS)


def measure_rates(
    scenario: RateScenario,
    seed: int,
    duration_s: float,
    quota: QuotaSettings | None = None,
    leases: LeaseSettings | None = None,
) -> RateFigures:
    """Run one scenario with the policies on."""
    requests = _requests(scenario, seed, duration_s)
    fleet = _fleet(seed, quota or QuotaSettings(), leases or LeaseSettings())
    before = (fleet.table.writes, fleet.table.reads)
    fleet.messages.clear()
    for number, request in enumerate(requests):
        fleet.at(
            SETTLE_S + request.at - fleet.now,
            partial(_send, fleet, request, str(number)),
        )
    _plan_fault(fleet, scenario, duration_s)
    fleet.run(SETTLE_S + duration_s + 1)
    admitted = [
        [
            one.at
            for one in fleet.admissions_by_id.values()
            if one.workspace == workspace.name
        ]
        for workspace in WORKSPACES
    ]
    waits_s = sorted(fleet.waits_s)
    busy = DAEMONS * duration_s
    return RateFigures(
        overrun=_overrun(admitted),
        refused_within_rate_ratio=_refused_ratio(requests, admitted),
        wait_p99_ms=waits_s[int(len(waits_s) * 0.99)] * 1000,
        wait_longest_ms=waits_s[-1] * 1000,
        grants_per_s=fleet.messages['grant'] / busy,
        witness_asks_per_s=fleet.messages['witness'] / busy,
        store_writes=fleet.table.writes - before[0],
        store_reads=fleet.table.reads - before[1],
    )


def measure_split(
    scenario: RateScenario, seed: int, duration_s: float
) -> tuple[float, float]:
    """Return overrun and refused ratio of a rate that is split evenly."""
    requests = _requests(scenario, seed, duration_s)
    admitted: list[list[float]] = []
    for workspace in WORKSPACES:
        buckets = [
            Bucket(
                workspace.rate / DAEMONS,
                workspace.burst / DAEMONS,
                -workspace.burst / workspace.rate,
            )
            for _ in range(DAEMONS)
        ]
        admitted.append(_admit_split(scenario, requests, workspace, buckets))
    return _overrun(admitted), _refused_ratio(requests, admitted)


def _figures(scenario: RateScenario, seed: int, duration_s: float) -> Figures:
    measured = measure_rates(scenario, seed, duration_s)
    overrun, refused = measure_split(scenario, seed, duration_s)
    return Figures(
        scenario.name,
        rate_overrun=measured.overrun,
        refused_within_rate_ratio=measured.refused_within_rate_ratio,
        store_writes=measured.store_writes,
        baseline=Figures(
            scenario.name,
            rate_overrun=overrun,
            refused_within_rate_ratio=refused,
            store_writes=0,
        ),
    )


def _fleet(seed: int, quota: QuotaSettings, leases: LeaseSettings) -> RateFleet:
    configuration = Configuration(
        workspaces_by_name={one.name: one for one in WORKSPACES}
    )
    fleet = RateFleet(configuration, seed, quota, leases)
    for number in range(DAEMONS):
        fleet.join(_candidate(number), 1)
    fleet.tell_members()
    fleet.run(SETTLE_S)
    return fleet


def _candidate(number: int) -> Candidate:
    host = f'h{number}'
    return Candidate(
        host, f'{host}/1', f'dc{number % 4}', f'region{number % 2}'
    )


def _requests(
    scenario: RateScenario, seed: int, duration_s: float
) -> list[Request]:
    rng = Random(seed)
    requests: list[Request] = []
    for workspace in WORKSPACES:
        at = rng.expovariate(workspace.rate * scenario.load)
        while at < duration_s:
            daemon = _live(scenario, at, duration_s, scenario.place(rng, at))
            requests.append(Request(at, daemon, workspace))
            at += rng.expovariate(workspace.rate * scenario.load)
    requests.sort(key=lambda request: request.at)
    return requests


def _live(
    scenario: RateScenario, at: float, duration_s: float, daemon: int
) -> int:
    """Let callers of a killed daemon go to the next one."""
    if daemon == scenario.killed and at >= duration_s / 3:
        return (daemon + 1) % DAEMONS
    return daemon


def _send(fleet: RateFleet, request: Request, request_id: str) -> None:
    fleet.request(f'h{request.daemon}', request.workspace.name, request_id)


def _plan_fault(
    fleet: RateFleet, scenario: RateScenario, duration_s: float
) -> None:
    begin_s = duration_s / 3
    if scenario.killed is not None:
        fleet.at(begin_s, partial(_kill, fleet, f'h{scenario.killed}'))
        fleet.at(begin_s + SUSPICION_S, fleet.tell_members)
    if scenario.begin is not None:
        fleet.at(begin_s, partial(scenario.begin, fleet))
    if scenario.heal is not None:
        fleet.at(duration_s * 2 / 3, partial(scenario.heal, fleet))


def _kill(fleet: RateFleet, host: str) -> None:
    fleet.daemons_by_host[host].alive = False


def _admit_split(
    scenario: RateScenario,
    requests: list[Request],
    workspace: Workspace,
    buckets: list[Bucket],
) -> list[float]:
    admitted: list[float] = []
    for request in requests:
        if request.workspace is workspace:
            bucket = buckets[request.daemon]
            bucket.refill(request.at)
            if bucket.level >= 1:
                bucket.take(1)
                admitted.append(request.at)
    return admitted


def _overrun(admitted: list[list[float]]) -> float:
    overruns = [
        window_overrun(times, workspace.rate, workspace.burst)
        for times, workspace in zip(admitted, WORKSPACES, strict=True)
    ]
    # Differences of sums of floats are no requests.
    return max(round(overrun, 6) for overrun in overruns)


def _refused_ratio(
    requests: list[Request], admitted: list[list[float]]
) -> float:
    missing = float(0)
    for times, workspace in zip(admitted, WORKSPACES, strict=True):
        central = Bucket(workspace.rate, workspace.burst, 0)
        central.level = workspace.burst
        within = 0
        for request in requests:
            if request.workspace is workspace:
                central.refill(request.at)
                within += central.take(1) >= 1
        missing += max(0, within - len(times))
    return missing / len(requests)


def _anywhere(rng: Random, at: float) -> int:
    return rng.randrange(DAEMONS)


def _moving(rng: Random, at: float) -> int:
    """Place all requests at one daemon, and later at a far one."""
    return int(at / 5) % DAEMONS


def _store_out(fleet: RateFleet) -> None:
    fleet.faults = Faults(store_out=True)


def _cut_region(fleet: RateFleet) -> None:
    fleet.faults = Faults(region_cut=True)


def _heal(fleet: RateFleet) -> None:
    fleet.faults = Faults()


SCENARIOS = (
    RateScenario('rates-steady-spread', 0.95, _anywhere),
    RateScenario('rates-steady-uneven', 0.95, _moving),
    RateScenario('rates-daemon-killed', 0.95, _anywhere, killed=3),
    RateScenario('rates-daemon-killed-full-load', 1, _anywhere, killed=3),
    RateScenario('rates-store-out', 0.95, _anywhere, _store_out, _heal),
    RateScenario('rates-region-cut', 0.95, _anywhere, _cut_region, _heal),
    RateScenario('rates-flood', 5, _anywhere),
)


def main() -> None:
    """Print the figures for several numbers of shards."""
    for shards in (4, 8, 16, 32):
        quota = QuotaSettings(shards=shards)
        leases = replace(LeaseSettings(), shards=shards)
        for scenario in SCENARIOS:
            measured = measure_rates(scenario, 1, FULL_S, quota, leases)
            print(shards, scenario.name, measured, flush=True)


if __name__ == '__main__':
    main()
