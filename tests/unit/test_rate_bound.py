"""Check the bound on rates over small fleets under all kinds of faults."""

from dataclasses import dataclass
from functools import partial
from random import Random

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions.document import (
    Configuration,
    Revision,
    Workspace,
)
from dragonflyknot.decisions.leasemessages import LeaseSettings
from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.quota import QuotaSettings
from experiments.fakerates import Faults, window_overrun
from experiments.ratefleet import RateFleet

TOLERANCE = 1e-6
HOSTS = ('a1', 'a2', 'b1', 'b2', 'b3')
WORKSPACE = 'acme'
CHECK_INTERVAL_S = 0.05
SETTLED_S = 12.0
END_S = 45.0
LEASES = LeaseSettings(
    shards=4,
    lease_s=15,
    renew_interval_s=3,
    poll_interval_s=2,
    witness_lease_s=1,
)


@dataclass(frozen=True)
class ScheduledFault:
    """Schedule a fault for a duration, at one host or in the whole fleet."""

    kind: str
    at: float
    duration: float
    host: str


scheduled_faults = st.lists(
    st.builds(
        ScheduledFault,
        kind=st.sampled_from(
            (
                'pause',
                'kill',
                'stop',
                'store-out',
                'cut',
                'messages',
                'store-answers',
            )
        ),
        at=st.floats(0, END_S - 10),
        duration=st.floats(0.2, 12),
        host=st.sampled_from(HOSTS),
    ),
    min_size=1,
    max_size=8,
)


def limits(rate: float, burst: float, number: int) -> Configuration:
    return Configuration(
        revision=Revision(number, '', ''),
        workspaces_by_name={WORKSPACE: Workspace(WORKSPACE, rate, burst)},
        open_rate=rate,
        open_burst=burst,
    )


class FaultyFleet:
    """Run a fleet under load with the faults of one example."""

    def __init__(self, seed: int, rate: float, burst: float) -> None:
        self.rng = Random(seed)
        self.fleet = RateFleet(
            limits(rate, burst, 1),
            seed,
            QuotaSettings(shards=4, min_tokens_per_shard=5),
            LEASES,
        )
        self.rate = rate
        self.incarnations = 0
        self.doubly_held: list[str] = []
        for host in HOSTS:
            self.join(host)
        self.fleet.tell_members()
        self.fleet.at(CHECK_INTERVAL_S, self.check_shards)

    def join(self, host: str) -> None:
        self.incarnations += 1
        self.fleet.join(
            Candidate(host, f'{host}/{self.incarnations}', host, host[0]),
            self.incarnations,
        )

    def check_shards(self) -> None:
        holders: dict[int, str] = {}
        for daemon in self.fleet.daemons_by_host.values():
            usable = daemon.clock() < daemon.usable_until
            for shard in daemon.lease_manager.held if usable else ():
                if shard in holders and daemon.alive:
                    self.doubly_held.append(f'{shard} at {self.fleet.now}')
                holders[shard] = daemon.candidate.host
        self.fleet.at(CHECK_INTERVAL_S, self.check_shards)

    def load(self, workspace: str, factor: float) -> None:
        at = SETTLED_S / 2
        hot_host = self.rng.choice(HOSTS)
        number = 0
        while at < END_S:
            number += 1
            at += self.rng.expovariate(self.rate * factor)
            spread = self.rng.random() < 0.5
            host = self.rng.choice(HOSTS) if spread else hot_host
            self.fleet.at(
                at,
                partial(self.request, host, workspace, f'{workspace}/{number}'),
            )

    def request(self, host: str, workspace: str, request_id: str) -> None:
        self.fleet.request(host, workspace, request_id)
        if self.rng.random() < 0.1:
            self.fleet.at(
                self.rng.uniform(0, 1), partial(self.give_back, request_id)
            )

    def give_back(self, request_id: str) -> None:
        if request_id in self.fleet.admissions_by_id:
            self.fleet.give_back(request_id)

    def start_fault(self, fault: ScheduledFault) -> None:
        fleet = self.fleet
        daemon = fleet.daemons_by_host[fault.host]
        match fault.kind:
            case 'pause':
                daemon.paused_until = fleet.now + fault.duration
                return
            case 'kill':
                daemon.alive = False
                fleet.at(0.8, fleet.tell_members)
                fleet.at(fault.duration, partial(self.restart, fault.host))
                return
            case 'stop':
                fleet.stop(fault.host)
                fleet.at(0.2, fleet.tell_members)
                fleet.at(fault.duration, partial(self.restart, fault.host))
                return
        fleet.faults = FAULTS_BY_KIND[fault.kind]
        fleet.at(fault.duration, self.clear_faults)

    def clear_faults(self) -> None:
        self.fleet.faults = Faults()

    def restart(self, host: str) -> None:
        daemon = self.fleet.daemons_by_host[host]
        daemon.alive = False
        self.join(host)
        self.fleet.at(0.5, self.fleet.tell_members)

    def overrun(self, workspace: str, rate: float, burst: float) -> float:
        admitted_at = [
            admission.at
            for admission in self.fleet.admissions_by_id.values()
            if admission.workspace == workspace
        ]
        return window_overrun(admitted_at, rate, burst)


FAULTS_BY_KIND = {
    'store-out': Faults(store_out=True),
    'cut': Faults(region_cut=True),
    'messages': Faults(lost=0.2, doubled=0.2, late=0.3, latest_s=2.5),
    'store-answers': Faults(store_answer_lost=0.3, store_late=0.3),
}


class RateBoundTest(testtools.TestCase):
    """Admit at most rate * t + burst in every window, whatever fails."""

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=12,
        phases=(Phase.explicit, Phase.generate),
    )
    @given(
        scheduled_faults=scheduled_faults,
        seed=st.integers(0, 1000),
        tight=st.booleans(),
    )
    def test_bound_holds_under_faults(
        self, scheduled_faults: list[ScheduledFault], seed: int, tight: bool
    ) -> None:
        rate, burst = (20.0, 6.0) if tight else (30.0, 30.0)
        run = FaultyFleet(seed, rate, burst)
        run.load(WORKSPACE, 2)
        run.load('', 0.5)
        for fault in scheduled_faults:
            run.fleet.at(fault.at, partial(run.start_fault, fault))
        run.fleet.run(END_S)
        self.assertEqual([], run.doubly_held)
        for workspace in (WORKSPACE, ''):
            overrun = run.overrun(workspace, rate, burst)
            self.assertLessEqual(overrun, TOLERANCE)
        self.assertGreater(len(run.fleet.admissions_by_id), 0)

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=6,
        phases=(Phase.explicit, Phase.generate),
    )
    @given(
        seed=st.integers(0, 1000),
        changed=st.sampled_from(
            ((10.0, 5.0), (80.0, 80.0), (40.0, 4.0), (10.0, 40.0))
        ),
        faults=scheduled_faults,
    )
    def test_bound_holds_across_a_change_of_rate(
        self,
        seed: int,
        changed: tuple[float, float],
        faults: list[ScheduledFault],
    ) -> None:
        rate, burst = (40.0, 20.0)
        run = FaultyFleet(seed, rate, burst)
        run.load(WORKSPACE, 2)
        run.fleet.at(faults[0].at, partial(run.start_fault, faults[0]))
        new = limits(*changed, 2)
        change_at, spread_s = 25.0, 3.0

        def install(host: str) -> None:
            daemon = run.fleet.daemons_by_host[host]
            run.fleet.at_daemon(daemon, 0, lambda: daemon.install(new))

        def accept() -> None:
            run.fleet.configuration = new

        run.fleet.at(change_at, accept)
        for host in HOSTS:
            delay_s = change_at + run.rng.uniform(0, spread_s)
            run.fleet.at(delay_s, partial(install, host))
        run.fleet.run(END_S)
        self.assertEqual([], run.doubly_held)
        largest = (max(rate, changed[0]), max(burst, changed[1]))
        self.assertLessEqual(run.overrun(WORKSPACE, *largest), TOLERANCE)
        paused_s = faults[0].duration if faults[0].kind == 'pause' else 0
        settled_at = change_at + spread_s + paused_s + 1.5
        later = [
            admission.at
            for admission in run.fleet.admissions_by_id.values()
            if admission.at > settled_at
        ]
        self.assertLessEqual(window_overrun(later, *changed), TOLERANCE)
