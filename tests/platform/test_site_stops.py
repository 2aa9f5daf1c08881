"""Leaving upstreams and planned stops, with real sockets and stand-ins."""

import asyncio
from dataclasses import replace

import testtools

from asyncrun import run_async
from dragonflyknot.daemon.sitestop import EXIT_S, StopTimes
from dragonflyknot.decisions.calls import UpstreamState
from fakeupstream import Seen, whole
from sitefleet import SiteFleet, configuration


class DrainTest(testtools.TestCase):
    """A leaving upstream gets nothing after the acknowledgement."""

    def test_other_hosts_stop_at_once(self) -> None:
        """Send requests elsewhere, also from a host that has not heard."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(0, UpstreamState.DRAINING)
                before = len(fleet.upstreams[0].seen)
                for number in (0, 1, 0, 1):
                    reply = await fleet.ask(number)
                    self.assertEqual(200, reply.status)
                self.assertEqual(before, len(fleet.upstreams[0].seen))

        run_async(body())

    def test_stop_lets_requests_end(self) -> None:
        """Answer what is in flight when the daemon is told to stop."""

        async def slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1)
            writer.write(whole(seen))

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                fleet.upstreams[0].script = slowly
                asked = asyncio.ensure_future(fleet.ask())
                await fleet.until(lambda: fleet.hosts[0].in_flight)
                draining = asyncio.ensure_future(fleet.hosts[0].drain())
                reply = await asked
                self.assertEqual(200, reply.status)
                self.assertFalse(fleet.hosts[0].is_ready)
                await draining

        run_async(body())


class LongRequestTest(testtools.TestCase):
    """A request that outlasts the stop gets an answer, not a cut."""

    def test_it_is_answered_before_the_end(self) -> None:
        """Say that it may have run, though its time is not over."""
        asked_for = asyncio.Event()

        async def never(_seen: Seen, _writer: asyncio.StreamWriter) -> None:
            asked_for.set()
            await asyncio.sleep(60)

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                fleet.store.write('op', 'config', configuration(2, '60s'))
                await fleet.until(lambda: host.policy.version == 2)
                host.settings = replace(host.settings, grace_s=1)
                fleet.upstreams[0].script = never
                asked = asyncio.ensure_future(
                    fleet.ask(path='/book/x', Request_Deadline='60000')
                )
                await asked_for.wait()
                await host.drain()
                reply = await asked
                self.assertEqual(504, reply.status)

        run_async(body())

    def test_time_is_left_to_end(self) -> None:
        """Drain no longer than what leaves time to exit."""
        for grace_s in (1, 2, 6, 30):
            times = StopTimes(callers_leave_s=2.1, grace_s=grace_s)
            self.assertLessEqual(times.max_drain_s, grace_s - EXIT_S)
            self.assertLess(times.refusing_after_s, times.max_drain_s)


class GateDuringAStopTest(testtools.TestCase):
    """A host that stops serves its upstream for as long as its callers."""

    # In a rolling restart, all gates of a service refused at the same time,
    # seconds before their processes ended.
    def test_gate_refuses_no_sooner_than_the_edge(self) -> None:
        """Run the requests of other hosts until callers are refused."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                host.settings = replace(host.settings, grace_s=1)
                stopping = asyncio.ensure_future(host.drain())
                gate_refused_first = False
                while not stopping.done():
                    await asyncio.sleep(0.01)
                    gate_refused_first |= (
                        host.gate.is_refusing and not host.edge.is_refusing
                    )
                self.assertFalse(gate_refused_first)

        run_async(body())


class CallsDuringAStopTest(testtools.TestCase):
    """A host that stops lets the requests at its upstream end well."""

    # A host that stopped refused the calls of requests which its upstream
    # was running, and so they failed.
    def test_calls_of_running_requests_are_served(self) -> None:
        """Serve a call that is made while callers are refused."""
        is_running = asyncio.Event()

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                host = fleet.hosts[0]
                host.settings = replace(host.settings, callers_leave_s=0.2)

                async def call(
                    seen: Seen, writer: asyncio.StreamWriter
                ) -> None:
                    if '/open/' in seen.line:
                        writer.write(whole(seen))
                        return
                    is_running.set()
                    await fleet.until(lambda: host.edge.is_refusing)
                    refused = await fleet.ask(path='/open/x', Key='')
                    reply = await fleet.ask(
                        path='/open/x',
                        Key='',
                        Attempt_Id=f'{seen.headers["attempt-id"]}.c',
                        Request_Deadline='1000',
                    )
                    statuses = f'{refused.status} {reply.status}'
                    writer.write(whole(seen, statuses.encode()))

                fleet.upstreams[0].script = call
                fleet.hosts[1].gate.is_refusing = True
                asked = asyncio.ensure_future(
                    fleet.ask(path='/book/x', method='POST')
                )
                await is_running.wait()
                fleet.hosts[1].gate.is_refusing = False
                await host.drain()
                reply = await asked
                self.assertEqual((200, b'503 200'), (reply.status, reply.body))

        run_async(body())


class StopUnderLoadTest(testtools.TestCase):
    """A planned stop cuts nothing off while requests keep coming."""

    def test_every_request_gets_an_answer(self) -> None:
        """Answer or refuse all that comes until the daemon has ended."""

        async def slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)
            writer.write(whole(seen))

        async def keep_asking(fleet: SiteFleet, statuses: list[int]) -> None:
            while True:
                try:
                    reply = await fleet.ask(0, Key='')
                except ConnectionError:
                    # The connection crossed the close of the listener.
                    return
                statuses.append(reply.status)

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                for upstream in fleet.upstreams:
                    upstream.script = slowly
                statuses: list[int] = []
                askers = [
                    asyncio.ensure_future(keep_asking(fleet, statuses))
                    for _asker in range(8)
                ]
                await asyncio.sleep(0.2)
                await fleet.hosts[0].drain()
                self.assertEqual(0, fleet.hosts[0].in_flight)
                answered = tuple(statuses)
                await fleet.hosts[0].__aexit__(None, None, None)
                for asker in askers:
                    asker.cancel()
                await asyncio.wait(askers)
                self.assertEqual({200, 503}, set(answered))
                self.assertNotIn(502, statuses)

        run_async(body())


class LateInTheGraceTest(testtools.TestCase):
    """A request that comes late in the grace runs to its end, or not at all."""

    # Guards against a stop in calm that takes requests until late in the
    # grace and cuts them at its end, among them some that may not be repeated.
    def test_requests_all_through_the_stop(self) -> None:
        """Answer all that ran; refuse the others as not run."""

        async def slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.8)
            writer.write(whole(seen))

        async def ask(fleet: SiteFleet) -> int:
            try:
                reply = await fleet.ask(path='/book/x', method='POST')
            except ConnectionError:
                return 0
            return reply.status

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                host = fleet.hosts[0]
                host.settings = replace(
                    host.settings, callers_leave_s=1, grace_s=4
                )
                fleet.upstreams[0].script = slowly
                before = len(fleet.upstreams[0].seen)
                stopping = asyncio.ensure_future(host.drain())
                asked = []
                while not stopping.done():
                    asked.append(asyncio.ensure_future(ask(fleet)))
                    await asyncio.sleep(0.05)
                await host.__aexit__(None, None, None)
                statuses = await asyncio.gather(*asked)
                served = statuses.count(200)
                self.assertLess(0, served)
                self.assertLess(0, statuses.count(503))
                self.assertEqual(served, len(fleet.upstreams[0].seen) - before)
                self.assertLessEqual(set(statuses), {200, 503, 0})

        run_async(body())
