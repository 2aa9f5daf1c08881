"""Check that the runner itself reports a failing asynchronous test."""

import asyncio

import testtools

from asyncrun import run_async


class RunAsyncTest(testtools.TestCase):
    """A failing coroutine fails its test."""

    def test_failure_is_reported(self) -> None:
        class Failing(testtools.TestCase):
            def test_body(self) -> None:
                async def body() -> None:
                    await asyncio.sleep(0)
                    self.fail('deliberate')

                run_async(body())

        outcome = testtools.TestResult()
        Failing('test_body').run(outcome)
        self.assertEqual(1, len(outcome.failures))
