"""Many hosts with few slots, and daemons that each hear little of them.

Short calls share the hosts with requests that hold a slot for long. Each
daemon sends a few requests a second to dozens of hosts, so that its reports of
their loads are seconds old: it sends calls to hosts whose slots are all taken,
while others have free ones.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any, cast

import testtools
from aiohttp.streams import EMPTY_PAYLOAD

from adapter.dialect import DIALECT
from dragonflyknot.callers.forwardedrequest import ForwardedRequest
from dragonflyknot.callers.requestrunner import RequestRunner
from dragonflyknot.callers.siteedgeports import SiteEdgeCounts, SiteEdgePorts
from dragonflyknot.decisions.balancer import Balancer
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.candidates import Candidate, Place
from dragonflyknot.decisions.siteconfig import (
    LOWEST_CALL_PRIORITY,
    SiteRoute,
    WeightedService,
)
from dragonflyknot.decisions.siteretries import SiteRetryBound, SiteRetryBudget
from dragonflyknot.decisions.throttle import Throttle
from dragonflyknot.decisions.upstreammessages import Heartbeat
from dragonflyknot.decisions.upstreamstate import UpstreamRegister
from dragonflyknot.exchange.hopheaders import Hop
from dragonflyknot.exchange.outcomes import Answered, Outcome, OutgoingRequest
from dragonflyknot.exchange.serverrequest import Request
from dragonflyknot.exchange.telemetry import RateLimitedLog
from dragonflyknot.upstreams.sitegate import SiteGate
from virtualclock import run_virtual

SERVICE = 'deep'
HOSTS = 40
SLOTS = 6
DAEMONS = 80
LASTING_S = 4.0
CALL_S = 0.08
CALLS_PER_S = 1100
CALL_DEADLINE_S = 0.7
READ_S = 1.4
READS_PER_S = 85
READ_DEADLINE_S = 8.0
# Calls hold 88 of the 240 slots and reads 119.
ADDRESS = '127.0.0.1:9'


class _Gate(SiteGate):
    """A gate whose upstream takes as long as the route says."""

    rng: random.Random

    async def _exchange(
        self, hop: Hop, outgoing: OutgoingRequest, *_details: Any
    ) -> Outcome:
        work_s = CALL_S if hop.route == 'call' else READ_S
        await asyncio.sleep(work_s * self.rng.uniform(0.5, 1.5))
        return Answered(200, [], b'', 0)


@dataclass
class _Sender:
    """Send attempts to gates, and record their loads as answers tell them."""

    gates: dict[str, _Gate]
    balancer: Balancer

    async def send(
        self, candidate: Candidate, hop: Hop, outgoing: OutgoingRequest
    ) -> Outcome:
        """Run an attempt at a gate."""
        gate = self.gates[candidate.place.host]
        outcome = await gate.run(hop, outgoing)
        self.balancer.record_load(candidate, gate.load(), time.monotonic())
        return outcome


@dataclass
class _Play:
    """Hold what became of the calls; times are in seconds."""

    waits_s: list[float] = field(default_factory=list)
    refused: int = 0

    @property
    def unserved_ratio(self) -> float:
        """Return the ratio of calls that were refused."""
        return self.refused / (len(self.waits_s) + self.refused)

    @property
    def late_ratio(self) -> float:
        """Return the ratio of calls that took over three times their work."""
        late = sum(wait_s > 3 * CALL_S for wait_s in self.waits_s)
        return late / (len(self.waits_s) + self.refused)


class ManySmallHostsTest(testtools.TestCase):
    """Calls find the free slots of a service that has enough of them."""

    # Guards against calls that wait behind long requests, and are refused,
    # while a seventh of the slots of their service is free.
    def test_calls_beside_long_requests(self) -> None:
        """Refuse hardly any call, and start nearly all at once."""
        for seed in (1, 2):
            play = run_virtual(_play(random.Random(seed)))
            self.assertLess(play.unserved_ratio, 0.001)
            self.assertLess(play.late_ratio, 0.02)


async def _play(rng: random.Random) -> _Play:
    gates = {f'host-{number}': _gate(rng) for number in range(HOSTS)}
    daemons = [_daemon(gates, number, rng) for number in range(DAEMONS)]
    play = _Play()
    async with asyncio.TaskGroup() as group:
        group.create_task(_arrivals(daemons, 'call', CALLS_PER_S, rng, play))
        group.create_task(_arrivals(daemons, 'read', READS_PER_S, rng, play))
    return play


async def _arrivals(
    daemons: list[RequestRunner],
    route: str,
    per_s: float,
    rng: random.Random,
    play: _Play,
) -> None:
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < LASTING_S:
            await asyncio.sleep(rng.expovariate(per_s))
            group.create_task(_request(rng.choice(daemons), route, play))


async def _request(runner: RequestRunner, route: str, play: _Play) -> None:
    is_call = route == 'call'
    began = time.monotonic()
    left_s = CALL_DEADLINE_S if is_call else READ_DEADLINE_S
    request: Any = type('FakeRequest', (), {})()
    request.body = _no_body
    request.reader = EMPTY_PAYLOAD
    request.task = asyncio.current_task()
    request.arrived_at = began
    forwarded = ForwardedRequest(
        request=cast(Request, request),
        request_id='',
        route=SiteRoute(
            route, 'h', '/', True, left_s, 1, 0, (WeightedService(SERVICE, 1),)
        ),
        service=SERVICE,
        workspace='',
        priority=LOWEST_CALL_PRIORITY if is_call else 0,
        is_call=is_call,
        is_retry=False,
        deadline=began + left_s,
        aim_at=began + left_s,
        outgoing=OutgoingRequest('GET', b'/', [], b'', b''),
    )
    result = await runner.run(forwarded)
    if not is_call:
        return
    if isinstance(result, Answered):
        play.waits_s.append(time.monotonic() - began)
    else:
        play.refused += 1


async def _no_body() -> bytes:
    return b''


def _gate(rng: random.Random) -> _Gate:
    register = UpstreamRegister(SERVICE, ADDRESS)
    register.apply_heartbeat(
        Heartbeat('i', SERVICE, ADDRESS, 1, 1, UpstreamState.READY, SLOTS)
    )
    gate = _Gate(register, ADDRESS, DIALECT)
    gate.rng = rng
    gate.apply_announcement()
    return gate


def _daemon(
    gates: dict[str, _Gate], number: int, rng: random.Random
) -> RequestRunner:
    balancer = Balancer(f'daemon-{number}', 'a', 'north')
    for host in gates:
        balancer.update(
            Place(host, host, 'a', 'north', SERVICE, UpstreamState.READY, SLOTS)
        )
    site: Any = type('FakeSite', (), {'version': 1})()
    ports = SiteEdgePorts(
        site=site,
        rates=cast(Any, None),
        balancer=balancer,
        site_retries=SiteRetryBudget(SiteRetryBound(0, 0)),
        throttle=Throttle(),
        sender=_Sender(gates, balancer),
        origins=cast(Any, None),
        dialect=DIALECT,
        caller='',
        counts=SiteEdgeCounts(RateLimitedLog()),
        rng=rng,
    )
    return RequestRunner(ports)
