"""Run coroutines inside synchronous tests.

A class that inherits from both `unittest.IsolatedAsyncioTestCase` and
`testtools.TestCase` passes without awaiting its tests. Tests therefore call
`run_async` themselves.
"""

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

_Answer = TypeVar('_Answer')

TEST_DEADLINE_S = 60


def run_async(coroutine: Coroutine[object, object, _Answer]) -> _Answer:
    """Run a coroutine to its end, within `TEST_DEADLINE_S` seconds."""
    return asyncio.run(asyncio.wait_for(coroutine, TEST_DEADLINE_S))
