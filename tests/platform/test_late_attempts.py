"""Test late attempts: they are cancelled if they may run again."""

import asyncio
from typing import Any

import testtools

from asyncrun import run_async
from dragonflyknot.callers.attempttimer import AttemptTimer
from fakeupstream import Seen, whole
from sitefleet import SiteFleet, configuration


async def _hang(_seen: Seen, _writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


class HangingUpstreamTest(testtools.TestCase):
    """An upstream that passes health checks answers no request."""

    def test_safe_requests_are_answered_by_another(self) -> None:
        """Cancel a late attempt and answer from another upstream."""
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
            with AttemptTimer(_current(), 0.01, lambda: may_cancel):
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
            with AttemptTimer(_current(), 30, lambda: True):
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

            def on_late() -> bool:
                tasks[0].cancel()
                return True

            async def wait() -> None:
                with AttemptTimer(_current(), 0.01, on_late):
                    await asyncio.sleep(30)

            tasks.append(asyncio.ensure_future(wait()))
            await asyncio.wait(tasks)
            self.assertTrue(tasks[0].cancelled())

        run_async(body())
