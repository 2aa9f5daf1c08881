"""Test late attempts: they are hedged if they may run again."""

import asyncio
from functools import partial
from typing import Any

import testtools

from asyncrun import run_async
from dragonflyknot.callers.attempttimer import AttemptTimer
from fakeupstream import Script, Seen, answer, whole
from sitefleet import SiteFleet, configuration


async def _hang(_seen: Seen, _writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


class HangingUpstreamTest(testtools.TestCase):
    """An upstream that passes health checks answers no request."""

    def test_safe_requests_are_answered_by_another(self) -> None:
        """Answer from another upstream and cancel the late attempt."""
        seen: list[Seen] = []

        async def hang_first(one: Seen, writer: asyncio.StreamWriter) -> None:
            seen.append(one)
            if len(seen) == 1:
                await asyncio.sleep(30)
            writer.write(whole(one))

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                fleet.store.write('op', 'config', configuration(2, '20s'))
                await fleet.until(
                    lambda: all(one.policy.version == 2 for one in fleet.hosts)
                )
                for upstream in fleet.upstreams:
                    upstream.script = hang_first
                reply = await fleet.ask()
                self.assertEqual((200, 2), (reply.status, len(seen)))
                runs = [len(one.seen) for one in fleet.upstreams]
                self.assertEqual([1, 1], runs)
                await fleet.until(lambda: not fleet.hosts[0].in_flight)

        run_async(body())

    def test_unsafe_requests_run_once(self) -> None:
        """Wait for the timeout if a second run is not allowed."""

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                for upstream in fleet.upstreams:
                    upstream.script = _hang
                reply = await fleet.ask(path='/book/x', method='POST')
                self.assertEqual(504, reply.status)
                runs = sum(len(one.seen) for one in fleet.upstreams)
                self.assertEqual(1, runs)

        run_async(body())


async def _break_off(_seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class WorkUnderWayTest(testtools.TestCase):
    """A run is not given up before another upstream has answered."""

    async def _ask(
        self, second: Script = answer, *, others_refuse: bool = False
    ) -> tuple[int, int]:
        """Send a request whose first run is late; return status and runs.

        Further runs follow the script `second`.
        """
        seen: list[Seen] = []

        async def serve_first_late(
            host: int, one: Seen, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(one)
            if len(seen) > 1:
                await second(one, writer)
                return
            for number in {0, 1, 2} - {host}:
                fleet.hosts[number].gate.is_refusing = others_refuse
            await asyncio.sleep(1)
            writer.write(whole(one))

        async with SiteFleet(3) as fleet:
            fleet.store.write('op', 'config', configuration(2, '20s'))
            await fleet.until(
                lambda: all(one.policy.version == 2 for one in fleet.hosts)
            )
            for number, upstream in enumerate(fleet.upstreams):
                upstream.script = partial(serve_first_late, number)
            reply = await fleet.ask()
            await fleet.until(
                lambda: not any(host.in_flight for host in fleet.hosts)
            )
            return reply.status, len(seen)

    # A late run was cut, all other gates refused, and the caller got a 502.
    def test_late_run_goes_on_while_all_other_gates_refuse(self) -> None:
        """Answer from the late upstream if no other gate takes the request."""

        async def body() -> None:
            outcome = await self._ask(others_refuse=True)
            self.assertEqual((200, 1), outcome)

        run_async(body())

    # A late run was cut for one that broke off, and the caller got a 502.
    def test_late_run_goes_on_after_the_second_broke_off(self) -> None:
        """Answer from the late upstream if the second attempt fails."""

        async def body() -> None:
            self.assertEqual((200, 2), await self._ask(_break_off))

        run_async(body())

    # A late run was cut for one that hung, and the caller got a 504.
    def test_late_run_goes_on_while_the_second_hangs(self) -> None:
        """Answer from the late upstream if it is the first to answer."""

        async def body() -> None:
            self.assertEqual((200, 2), await self._ask(_hang))

        run_async(body())


def _current() -> asyncio.Task[Any]:
    task = asyncio.current_task()
    assert task is not None
    return task


class AttemptTimerTest(testtools.TestCase):
    """The timer cancels late attempts only."""

    def test_outcomes(self) -> None:
        """Cancel only an attempt that is late and may be cancelled."""

        async def waited(delay_s: float, *, may_cancel: bool) -> bool:
            has_ended = False

            def on_late() -> None:
                if may_cancel:
                    timer.cancel()

            timer = AttemptTimer(_current(), 0.01, on_late)
            with timer:
                await asyncio.sleep(delay_s)
                has_ended = True
            return has_ended

        async def body() -> None:
            self.assertTrue(await waited(0, may_cancel=True))
            self.assertTrue(await waited(0.05, may_cancel=False))
            self.assertFalse(await waited(30, may_cancel=True))

        run_async(body())

    def test_cancellation_from_outside_passes(self) -> None:
        """Propagate the cancellation of the whole request."""

        async def wait() -> None:
            timer = AttemptTimer(_current(), 30, lambda: timer.cancel())
            with timer:
                await asyncio.sleep(30)

        async def body() -> None:
            task = asyncio.ensure_future(wait())
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            self.assertTrue(task.cancelled())

        run_async(body())

    def test_both_at_once(self) -> None:
        """Cancel the request if it is cancelled together with its attempt."""

        async def body() -> None:
            tasks: list[asyncio.Task[None]] = []
            timers: list[AttemptTimer] = []

            def on_late() -> None:
                tasks[0].cancel()
                timers[0].cancel()

            async def wait() -> None:
                timers.append(AttemptTimer(_current(), 0.01, on_late))
                with timers[0]:
                    await asyncio.sleep(30)

            tasks.append(asyncio.ensure_future(wait()))
            await asyncio.wait(tasks)
            self.assertTrue(tasks[0].cancelled())

        run_async(body())
