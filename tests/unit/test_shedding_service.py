"""Tests of retries while a leaf service refuses half of its requests.

The service sheds at random at all of its hosts although it has free slots.
Every chain makes several calls to the service and fails if one of them fails.
"""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, cast

import testtools
from aiohttp.streams import EMPTY_PAYLOAD

from asyncrun import run_async
from dragonflyknot.callers.forwardedrequest import ForwardedRequest
from dragonflyknot.callers.requestrunner import RequestRunner
from dragonflyknot.callers.siteedgeports import SiteEdgeCounts, SiteEdgePorts
from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Candidate, Load, Place
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.siteconfig import (
    HIGHEST_CALLER_PRIORITY,
    SiteRoute,
    WeightedService,
    call_priority,
)
from dragonflyknot.decisions.siteretries import SiteRetryBound, SiteRetryBudget
from dragonflyknot.decisions.throttle import Throttle
from dragonflyknot.exchange.dialect import Dialect
from dragonflyknot.exchange.hopheaders import Hop
from dragonflyknot.exchange.outcomes import (
    Answered,
    NotRun,
    Outcome,
    OutgoingRequest,
)
from dragonflyknot.exchange.serverrequest import Request
from dragonflyknot.exchange.telemetry import RateLimitedLog

SERVICE = 'deep'
HOSTS = 4
CALLS_PER_CHAIN = 4
SHED_RATIO = 0.55
PRIOR_REQUESTS = 3000
BOUND = SiteRetryBound(ratio=0.2, slack=0)
ROUTE = SiteRoute(
    'r', 'h', '/', True, 5, 1, 0, (WeightedService(SERVICE, 1),), 2
)
HIGH_PRIORITY = call_priority(HIGHEST_CALLER_PRIORITY)
LOWER_PRIORITY = call_priority(HIGHEST_CALLER_PRIORITY - 2)


@dataclass
class SheddingGates:
    """Refuse a ratio of the attempts, as shedding upstreams do."""

    rng: random.Random
    arrivals: int = 0
    hosts_by_request: dict[bytes, set[str]] = field(default_factory=dict)

    async def send(
        self, candidate: Candidate, hop: Hop, outgoing: OutgoingRequest
    ) -> Outcome:
        """Answer or refuse an attempt."""
        self.arrivals += 1
        hosts = self.hosts_by_request.setdefault(outgoing.request_id, set())
        hosts.add(candidate.place.host)
        if self.rng.random() < SHED_RATIO:
            return NotRun(Refusal.SHED, reached_upstream=True)
        return Answered(200, [], b'', 0)


@dataclass
class Site:
    """Run chains whose last service sheds."""

    rng: random.Random
    gates: SheddingGates
    budget: SiteRetryBudget
    runner: RequestRunner
    calls: int = 0

    async def chain(self, priority: int) -> bool:
        """Make the calls of a chain; return whether all succeeded."""
        succeeded = await asyncio.gather(
            *(self._call(priority) for _ in range(CALLS_PER_CHAIN))
        )
        return all(succeeded)

    async def _call(self, priority: int) -> bool:
        self.calls += 1
        name = f'a{self.calls}'
        now = time.monotonic()
        forwarded = ForwardedRequest(
            request=_request(),
            request_id=name,
            route=ROUTE,
            service=SERVICE,
            workspace='',
            priority=priority,
            is_call=True,
            is_retry=False,
            deadline=now + 30,
            aim_at=now + 30,
            outgoing=OutgoingRequest('GET', b'/', [], b'', name.encode()),
        )
        return isinstance(await self.runner.run(forwarded), Answered)


class SheddingServiceTest(testtools.TestCase):
    """Retries are made where they cost least, first for high priorities."""

    def test_high_priority_chains_are_served_within_the_bound(self) -> None:
        """Complete most high-priority chains (4% without retries)."""

        async def body() -> None:
            site = _site(seed=1)
            succeeded = await asyncio.gather(
                *(site.chain(HIGH_PRIORITY) for _ in range(60))
            )
            self.assertGreater(sum(succeeded), 0.6 * len(succeeded))
            repeats = site.gates.arrivals - site.calls
            self.assertLessEqual(repeats, BOUND.ratio * PRIOR_REQUESTS)

        run_async(body())

    def test_lower_priority_chains_leave_retries_for_high_priority(
        self,
    ) -> None:
        """Serve high-priority chains that follow many of lower priority."""

        async def body() -> None:
            site = _site(seed=2)
            await asyncio.gather(
                *(site.chain(LOWER_PRIORITY) for _ in range(400))
            )
            succeeded = await asyncio.gather(
                *(site.chain(HIGH_PRIORITY) for _ in range(15))
            )
            self.assertGreater(sum(succeeded), 0.6 * len(succeeded))

        run_async(body())

    def test_no_request_goes_to_more_upstreams_than_allowed(self) -> None:
        """Retry at upstreams that refused, not at a third one."""

        async def body() -> None:
            site = _site(seed=3)
            await asyncio.gather(
                *(site.chain(HIGH_PRIORITY) for _ in range(30))
            )
            hosts = Counter(
                len(request_hosts)
                for request_hosts in site.gates.hosts_by_request.values()
            )
            self.assertLessEqual(max(hosts), ROUTE.max_attempts)
            self.assertGreater(site.gates.arrivals, site.calls)

        run_async(body())


def _site(seed: int) -> Site:
    rng = random.Random(seed)
    balancer = Balancer('caller', 'a', 'north')
    now = time.monotonic()
    for number in range(HOSTS):
        host = f'deep-{number}'
        place = Place(
            host, host, 'a', 'north', SERVICE, UpstreamState.READY, 100
        )
        balancer.update(place)
        candidate = balancer.candidate(host)
        assert candidate is not None
        load = Load(UpstreamState.READY, 100, 0, 0, makes_calls=False)
        balancer.record_load(candidate, load, now)
    budget = SiteRetryBudget(BOUND)
    for _ in range(PRIOR_REQUESTS):
        budget.count_request(SERVICE, now, is_retry=False)
    gates = SheddingGates(rng)
    ports = SiteEdgePorts(
        site=cast(Any, _Version()),
        rates=cast(Any, None),
        balancer=balancer,
        site_retries=budget,
        throttle=Throttle(),
        sender=gates,
        origins=cast(Any, None),
        dialect=cast(Dialect, None),
        caller='caller',
        counts=SiteEdgeCounts(RateLimitedLog()),
        rng=rng,
    )
    return Site(rng, gates, budget, RequestRunner(ports))


class _Version:
    version = 1


@dataclass
class _Link:
    serving_task: asyncio.Task[Any]


def _request() -> Request:
    task = asyncio.current_task()
    assert task is not None
    link = cast(Any, _Link(task))
    return Request('GET', b'/', (), {}, EMPTY_PAYLOAD, link, False, 0)
