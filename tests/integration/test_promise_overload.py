"""What is shed, retried and admitted when demand outruns capacity."""

import asyncio
import time
from dataclasses import replace

import testtools

from harness.caller import Shot
from promisesite import EDGE, NORTH, PROFILE, SOUTH, Site, until, with_site

SMALL_RATE = 16
SMALL_BURST = 16
POOL = 3
NARROW = replace(NORTH, slots=4, service_time_s=0.05)


class SheddingTest(testtools.TestCase):
    """Bookings and uploads are shed only after less important requests.

    Fails when the gate serves its queue in the order of arrival.
    """

    def test_important_requests_pass_a_flood_of_others(self) -> None:
        async def body(site: Site) -> None:
            flood = [Shot('GET', f'/auditions/{n}') for n in range(400)]
            less = asyncio.create_task(site.shoot_all(flood, workspace='press'))
            await until(lambda: site.runs().total() >= 8)
            important = [
                Shot('POST', '/auditions', once=True) for _ in range(12)
            ]
            important += [
                Shot('POST', '/recordings', bytes(5000)) for _ in range(12)
            ]
            results = await site.shoot_all(important)
            refused = [one for one in results if not one.is_whole]
            self.assertEqual([], refused)
            shed = [one for one in await less if not one.is_whole]
            self.assertTrue(shed)

        with_site(body, EDGE, NARROW)


class RetryTest(testtools.TestCase):
    """No request is retried more than a bounded number of times.

    Fails when a hop does not debit what it hands over or spends.
    """

    def test_pool_bounds_the_retries_of_the_whole_chain(self) -> None:
        async def body(site: Site) -> None:
            bookings = [
                site.fleet.upstreams_by_host[host]
                for host in ('north', 'south')
            ]
            for upstream in bookings:
                upstream.spec = replace(upstream.spec, slots=0)
            most = 0
            for _ in range(12):
                before = sum(one.ledger.shed for one in bookings)
                shot = Shot('GET', '/narrators/1', deeper=('/auditions/1',))
                await site.shoot(shot)
                after = sum(one.ledger.shed for one in bookings)
                first_calls = site.runs()[shot.tag]
                retries = after - before - first_calls + first_calls - 1
                most = max(most, retries)
                self.assertTrue(retries <= POOL, retries)
            self.assertTrue(most > 0)

        with_site(body, EDGE, NORTH, SOUTH, PROFILE)


class RateTest(testtools.TestCase):
    """No workspace receives more than its rate and burst over all hosts.

    Fails when each daemon counts on its own.
    """

    def test_rate_is_counted_over_all_edges(self) -> None:
        async def body(site: Site) -> None:
            before = site.runs().total()
            began = time.monotonic()
            edges = ('edge', 'north', 'south')
            for _ in range(8):
                shots = [Shot('GET', '/auditions/1') for _ in range(20)]
                await asyncio.gather(
                    *(site.shoot_all(shots, edge, 'small') for edge in edges)
                )
                await asyncio.sleep(0.1)
            elapsed_s = time.monotonic() - began
            admitted = site.runs().total() - before
            most = SMALL_RATE * elapsed_s + SMALL_BURST
            self.assertTrue(admitted <= most, f'{admitted} of {most}')
            self.assertTrue(admitted > 0)

        with_site(body, EDGE, NORTH, SOUTH)
