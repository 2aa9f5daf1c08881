"""Tests of the overhead per request."""

import asyncio
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from asyncrun import run_async
from sitefleet import SiteFleet


class EventLoopLookupTest(testtools.TestCase):
    """Asking asyncio for the running loop or task costs a system call."""

    def test_served_request_asks_for_no_loop_and_no_task(self) -> None:
        """Serve a request through two hosts with established links."""
        lookups_by_module: Counter[str] = Counter()

        def counting(lookup: Callable[[], Any]) -> Callable[[], Any]:
            def counted_lookup() -> Any:
                module = sys._getframe(1).f_globals['__name__']
                lookups_by_module[module] += 1
                return lookup()

            return counted_lookup

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                # Warm up, so that every link has carried a request.
                for _ in range(20):
                    await fleet.ask()
                with (
                    mock.patch.object(
                        asyncio,
                        'get_running_loop',
                        counting(asyncio.get_running_loop),
                    ),
                    mock.patch.object(
                        asyncio, 'current_task', counting(asyncio.current_task)
                    ),
                ):
                    reply = await fleet.ask()
                self.assertEqual(200, reply.status)

        run_async(body())
        own_lookups = {
            module: count
            for module, count in lookups_by_module.items()
            if module.startswith('dragonflyknot.')
            and not module.startswith('dragonflyknot.daemon.')
        }
        self.assertEqual({}, own_lookups)
