"""Test the calls that an upstream makes while it runs a request."""

import asyncio

import testtools

from asyncrun import run_async
from dragonflyknot.decisions import siteconfig
from dragonflyknot.decisions.slotqueue import SlotDecision, SlotQueue, Waiter
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

FAILURES = 200
# With this seed, the first number is high enough for the throttle to refuse.
REFUSING_SEED = 2


class CallOnAnOpenRouteTest(testtools.TestCase):
    """Calls go to routes that need no key, and carry none."""

    def test_a_call_is_not_throttled(self) -> None:
        """Refuse a caller of a failing route, but admit a call."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                throttle = fleet.hosts[0].edge._ports.throttle
                rng = fleet.hosts[0].edge._ports.rng
                statuses: list[int] = []

                async def call(
                    seen: Seen, writer: asyncio.StreamWriter
                ) -> None:
                    if not statuses:
                        statuses.append(0)
                        rng.seed(REFUSING_SEED)
                        own_id = seen.headers['attempt-id']
                        reply = await fleet.ask(
                            path='/open/x', Key='', Attempt_Id=f'{own_id}.c'
                        )
                        statuses.append(reply.status)
                    writer.write(whole(seen))

                await fleet.ask(path='/open/x', Key='')
                for _failure in range(FAILURES):
                    throttle.admit(
                        'open', 6, asyncio.get_running_loop().time(), rng
                    )
                    throttle.ended(
                        'open',
                        asyncio.get_running_loop().time(),
                        is_served=False,
                    )
                rng.seed(REFUSING_SEED)
                refused = await fleet.ask(path='/open/x', Key='')
                self.assertEqual(503, refused.status)
                fleet.upstreams[0].script = call
                reply = await fleet.ask()
                self.assertEqual((200, [0, 200]), (reply.status, statuses))

        run_async(body())

    def test_a_call_has_the_priority_of_its_chain(self) -> None:
        """Queue the call of a booking before that of a read."""
        priorities: list[int] = []
        arrive = SlotQueue.arrive

        def record_priority(
            line: SlotQueue, waiter: Waiter, now: float
        ) -> SlotDecision:
            priorities.append(waiter.priority)
            return arrive(line, waiter, now)

        async def body() -> None:
            async with SiteFleet(1) as fleet:

                async def call(
                    seen: Seen, writer: asyncio.StreamWriter
                ) -> None:
                    own_id = seen.headers['attempt-id']
                    if '/open/' not in seen.line:
                        await fleet.ask(
                            path='/open/x', Key='', Attempt_Id=f'{own_id}.c'
                        )
                    writer.write(whole(seen))

                fleet.upstreams[0].script = call
                self.patch(SlotQueue, 'arrive', record_priority)
                await fleet.ask(path='/read/x')
                await fleet.ask(path='/book/x', method='POST')

        run_async(body())
        read, booking = 6, 8
        self.assertEqual(
            [
                read,
                siteconfig.call_priority(read),
                booking,
                siteconfig.call_priority(booking),
            ],
            priorities,
        )
