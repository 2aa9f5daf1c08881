"""The fleet serves on through what fails, alone and two at once."""

import asyncio
import json
import signal
from dataclasses import replace

import aiohttp
import testtools

from harness.caller import Shot
from harness.relay import Delay, Direction, Drop
from promisesite import EDGE, NORTH, SOUTH, Site, SiteCase, until, with_site

WHOLE = (200, '')


class SilentConnectionTest(SiteCase):
    """Open connections go silent for good while new ones work."""

    specs = (EDGE, NORTH, SOUTH)

    def test_requests_go_on_over_new_connections(self) -> None:
        async def body(site: Site) -> None:
            await site.shoot_all(_reads(20))
            relays = [
                *site.requests_by_host.values(),
                *site.control_by_host.values(),
            ]
            for direction in (Direction.TO_CLIENT, Direction.TO_TARGET):
                for relay in relays:
                    relay.cause_on_open(Drop(), direction)
                results = await site.shoot_all(_reads(10))
                whole = [result for result in results if result.is_whole]
                self.assertTrue(whole)
                await until(lambda: _serves(site))

        self.on_site(body)

    def test_slow_path_alone_is_no_reason_to_refuse(self) -> None:
        async def body(site: Site) -> None:
            for relay in site.requests_by_host.values():
                relay.cause(Delay(0.8), Direction.TO_TARGET)
            shots = [Shot('POST', '/recordings', b'x') for _ in range(4)]
            results = await site.shoot_all(shots)
            ends = {(one.status, one.kind) for one in results}
            self.assertEqual({WHOLE}, ends)

        self.on_site(body)


class OutageTest(SiteCase):
    """The store is down for long, alone and with a region cut off."""

    specs = (EDGE, NORTH, SOUTH)

    def test_store_outage_stops_no_request(self) -> None:
        async def body(site: Site) -> None:
            await site.fleet.switch_platform(down=True)
            for _ in range(5):
                results = await site.shoot_all(_reads(5), 'north')
                self.assertEqual(
                    {WHOLE}, {(one.status, one.kind) for one in results}
                )
                await asyncio.sleep(0.5)
            await site.fleet.switch_platform(down=False)
            once = Shot('POST', '/auditions', once=True)
            await until(lambda: _is_booked(site, once))
            self.assertEqual(1, site.runs()[once.tag])

        self.on_site(body)

    def test_cut_region_heals(self) -> None:
        async def body(site: Site) -> None:
            cut = (
                site.requests_by_host['south'],
                site.control_by_host['south'],
            )
            await site.fleet.switch_platform(delay_ms=200)
            for relay in cut:
                relay.refuse()
                relay.cut()
            await until(lambda: _serves(site))
            for relay in cut:
                relay.heal()
            await site.fleet.switch_platform(delay_ms=0)
            north = site.fleet.upstreams_by_host['north']
            healthy = north.spec
            north.spec = replace(healthy, slots=0)
            await until(lambda: _serves(site))
            north.spec = healthy

        self.on_site(body)


class PausedDaemonTest(testtools.TestCase):
    """A daemon pauses past its leases and continues."""

    def test_fleet_serves_on_and_takes_it_back(self) -> None:
        async def body(site: Site) -> None:
            paused = site.fleet.daemons_by_host['south']
            paused.send(signal.SIGSTOP)
            await until(lambda: _serves(site))
            shots = [Shot('POST', '/recordings', b'x') for _ in range(20)]
            results = await site.shoot_all(shots)
            paused.send(signal.SIGCONT)
            await until(lambda: _serves(site, 'south'))
            runs = site.runs()
            untrue = [
                one
                for one in results
                if one.outcome == 'not-run' and runs[one.tag]
            ]
            self.assertEqual([], untrue)
            doubled = [shot for shot in shots if runs[shot.tag] > 1]
            self.assertEqual([], doubled)

        with_site(body, EDGE, NORTH, SOUTH)


class CallerTest(SiteCase):
    """A caller goes away, and an upstream misstates its load."""

    specs = (EDGE, NORTH)

    def test_caller_that_goes_away_cancels_its_work(self) -> None:
        async def body(site: Site) -> None:
            site.slow_down(2000)
            upstream = site.fleet.upstreams_by_host['north']
            tasks = [
                asyncio.create_task(site.shoot(shot)) for shot in _reads(5)
            ]
            before = upstream.ledger.runs_by_tag.total()
            await until(
                lambda: upstream.ledger.runs_by_tag.total() >= before + 5
            )
            for task in tasks:
                task.cancel()
            await until(lambda: upstream.ledger.cancelled >= 5)
            await asyncio.gather(*tasks, return_exceptions=True)
            site.slow_down(1)

        self.on_site(body)

    def test_misstated_slots_do_no_lasting_harm(self) -> None:
        async def body(site: Site) -> None:
            upstream = site.fleet.upstreams_by_host['north']
            upstream.announced_slots = 5000
            upstream.spec = replace(upstream.spec, slots=3)
            site.slow_down(4)
            await upstream.announce()
            results = await site.shoot_all(_reads(80))
            untrue = [
                one
                for one in results
                if one.outcome == 'not-run' and site.runs()[one.tag]
            ]
            self.assertEqual([], untrue)
            self.assertTrue(any(one.is_whole for one in results))
            await until(lambda: _serves(site))

        self.on_site(body)


def _reads(count: int) -> list[Shot]:
    return [Shot('GET', f'/auditions/{number}') for number in range(count)]


async def _serves(site: Site, edge: str = 'edge') -> bool:
    results = await site.shoot_all(_reads(4), edge)
    return all(result.is_whole for result in results)


async def _is_booked(site: Site, shot: Shot) -> bool:
    try:
        result = await site.shoot(shot)
    except (aiohttp.ClientError, json.JSONDecodeError):
        return False
    return result.is_whole
