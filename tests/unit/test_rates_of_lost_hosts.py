"""A workspace stays within its limit while hosts are killed or cut off."""

import asyncio
from collections.abc import Callable, Coroutine

import testtools

from dragonflyknot.decisions.hostorder import position_of
from ratefleet import RateFleet
from virtualclock import run_virtual

CALM_RATIO = 1 / 1.6
SURGE_S = 12
RATES_PER_S = (12.0, 57.0, 200.0)
SEEDS = (1, 2)
MAX_REFUSED_RATIO = 0.01
FOUND_S = 60

Faults = Callable[[RateFleet], Coroutine[object, object, None]]


async def lose_nothing(_fleet: RateFleet) -> None:
    """Let all hosts run."""


async def kill_and_restart(fleet: RateFleet) -> None:
    """Kill over half of the hosts; they start again after half a second."""
    await asyncio.sleep(3)
    killed = fleet.pick(0.55)
    fleet.kill(killed)
    await asyncio.sleep(0.5)
    fleet.start(killed)


async def kill_one_after_the_other(fleet: RateFleet) -> None:
    """Kill a host each quarter second; each starts again after a second."""
    await asyncio.sleep(2)
    killed = fleet.pick(0.75)
    for host in killed:
        fleet.kill([host])
        asyncio.get_running_loop().call_later(1, fleet.start, [host])
        await asyncio.sleep(0.25)


async def cut_off_together(fleet: RateFleet) -> None:
    """Cut hosts off for some seconds; they still reach each other."""
    await asyncio.sleep(2)
    fleet.cut_off(fleet.pick(0.4), together=True)
    await asyncio.sleep(7)
    fleet.heal()


async def cut_off_each(fleet: RateFleet) -> None:
    """Cut hosts off from all others for some seconds."""
    await asyncio.sleep(2)
    fleet.cut_off(fleet.pick(0.4), together=False)
    await asyncio.sleep(7)
    fleet.heal()


async def kill_beside_a_cut(fleet: RateFleet) -> None:
    """Kill hosts on both sides of a cut."""
    await asyncio.sleep(1)
    fleet.cut_off(fleet.pick(0.5), together=True)
    await asyncio.sleep(2)
    killed = fleet.pick(0.5)
    fleet.kill(killed)
    await asyncio.sleep(0.5)
    fleet.start(killed)
    await asyncio.sleep(4)
    fleet.heal()


async def play(fleet: RateFleet, surge: float, faults: Faults) -> None:
    """Play faults during a surge after a calm time."""
    async with fleet:
        await fleet.send(fleet.rate * CALM_RATIO, 5)
        async with asyncio.TaskGroup() as group:
            group.create_task(faults(fleet))
            group.create_task(
                fleet.send(fleet.rate * CALM_RATIO * surge, SURGE_S)
            )


class SurgeBesideLostHostsTest(testtools.TestCase):
    """The demand of a workspace surges while hosts are lost."""

    def check_bound(self, surge: float, faults: Faults, hosts: int) -> None:
        """Check the largest window of the plays of all rates and seeds."""
        broken: list[str] = []
        for rate in RATES_PER_S:
            for seed in SEEDS:
                fleet = RateFleet(rate, hosts, seed)
                run_virtual(play(fleet, surge, faults))
                most = fleet.max_admitted_in_window()
                if most > fleet.bound():
                    broken.append(
                        f'rate {rate} seed {seed}: {most} of {fleet.bound()}'
                    )
        self.assertEqual([], broken)

    def test_surge_alone(self) -> None:
        """Keep the bound while all hosts run."""
        self.check_bound(14, lose_nothing, hosts=16)

    # Guards against hosts that each admit a little before they hear of a surge.
    def test_surge_alone_in_a_large_fleet(self) -> None:
        """Keep the bound while all hosts of a large fleet run."""
        self.check_bound(14, lose_nothing, hosts=69)

    # Guards against new meters that grant the rate and the burst again.
    def test_killed_hosts_add_nothing_to_the_limit(self) -> None:
        """Keep the bound while killed hosts start again."""
        self.check_bound(7.5, kill_and_restart, hosts=16)

    # Guards against hosts that choose different meters after each kill.
    def test_kills_in_series_add_nothing_to_the_limit(self) -> None:
        """Keep the bound while hosts are killed one after the other."""
        self.check_bound(10, kill_one_after_the_other, hosts=16)

    # Guards against two parts of the fleet that grant the whole rate each.
    def test_a_split_fleet_adds_nothing_to_the_limit(self) -> None:
        """Keep the bound while a part of the hosts is cut off."""
        self.check_bound(14, cut_off_together, hosts=16)

    # Guards against hosts that count as a whole fleet when they are alone.
    def test_hosts_cut_off_alone_add_nothing_to_the_limit(self) -> None:
        """Keep the bound while hosts are cut off from all others."""
        self.check_bound(14, cut_off_each, hosts=16)

    # Guards against meters on both sides of a cut that start full.
    def test_kills_beside_a_cut_add_nothing_to_the_limit(self) -> None:
        """Keep the bound while hosts are killed on both sides of a cut."""
        self.check_bound(10, kill_beside_a_cut, hosts=16)

    # Guards against first requests that add up over many hosts.
    def test_killed_hosts_of_a_large_fleet_add_nothing(self) -> None:
        """Keep the bound while many hosts of a large fleet start again."""
        self.check_bound(10, kill_and_restart, hosts=69)


class CalmWorkspaceBesideLostHostsTest(testtools.TestCase):
    """A workspace stays within its rate while hosts are lost."""

    def check_refused(self, faults: Faults, hosts: int) -> None:
        """Check that hardly any request is refused."""
        for rate in RATES_PER_S:
            asked = admitted = 0
            for seed in SEEDS:
                fleet = RateFleet(rate, hosts, seed)
                run_virtual(play(fleet, 1, faults))
                asked += fleet.asked
                admitted += len(fleet.admitted_at)
            refused = asked - admitted
            self.assertLessEqual(
                refused, MAX_REFUSED_RATIO * asked, f'rate {rate}'
            )

    def test_killed_hosts(self) -> None:
        """Refuse hardly anything while killed hosts start again."""
        self.check_refused(kill_and_restart, hosts=16)

    def test_killed_hosts_of_a_large_fleet(self) -> None:
        """Refuse hardly anything where each host sees few requests."""
        self.check_refused(kill_and_restart, hosts=69)

    def test_kills_in_series(self) -> None:
        """Refuse hardly anything while meters change often."""
        self.check_refused(kill_one_after_the_other, hosts=16)

    def test_a_split_fleet(self) -> None:
        """Refuse hardly anything in either part of a split fleet."""
        self.check_refused(cut_off_together, hosts=16)

    def test_hosts_cut_off_alone(self) -> None:
        """Refuse hardly anything at hosts that reach no other."""
        self.check_refused(cut_off_each, hosts=16)


class LostMetersTest(testtools.TestCase):
    """The hosts that live find a meter, whoever is lost."""

    # Guards against hosts that ask lost meters over and over, as the first one
    # is asked again before the last one has been found lost.
    def test_first_hosts_hang(self) -> None:
        """Report to the first host that answers."""
        for lost in (3, 8, 40):
            fleet = RateFleet(200, 64, seed=1)
            run_virtual(self.play(fleet, lost))

    async def play(self, fleet: RateFleet, lost: int) -> None:
        """Cut the first hosts off for good; check who reports to the next."""
        async with fleet:
            order = sorted(fleet.hosts, key=position_of)
            fleet.cut_off(order[:lost], together=False)
            await asyncio.sleep(FOUND_S)
            meter = fleet.network.rates_by_host[order[lost]]
            for _second in range(10):
                await asyncio.sleep(1)
                self.assertEqual(64 - lost, meter.reporting_hosts)
