"""Test how the wait for the answer of an attempt ends."""

import asyncio
import time

import testtools

from asyncrun import run_async
from dragonflyknot.callers.attemptprobe import MIN_PROBE_DELAY_S, AttemptProbe
from dragonflyknot.decisions import ledger
from dragonflyknot.decisions.calls import Attempt, Call


class ScriptedResolver:
    """Resolve every attempt in the same way."""

    def __init__(self, resolved: ledger.Resolved) -> None:
        """Set the resolution."""
        self._resolved = resolved
        self.resolve_count = 0
        self.suspected: list[str] = []

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Count the call and return the resolution."""
        self.resolve_count += 1
        return self._resolved

    def suspect(self, host: str, since: float) -> None:
        """Record the host."""
        self.suspected.append(host)


async def wait(resolver: ScriptedResolver, left_s: float) -> AttemptProbe:
    """Probe an attempt that gets no answer, until the wait ends."""
    call = Call('r', 'r', 'w', 's', 5, time.monotonic() + left_s)
    scope = asyncio.timeout(None)
    probe = AttemptProbe(resolver, Attempt('0.r.1', 'north', 1, call), scope)
    try:
        async with scope:
            with probe:
                await asyncio.Event().wait()
    except TimeoutError:
        return probe
    raise AssertionError


class SilentAttemptTest(testtools.TestCase):
    """The deadline or a resolution by the gate ends the wait."""

    def test_deadline_before_the_first_probe(self) -> None:
        for left_s in (-1, 0, MIN_PROBE_DELAY_S / 10):
            resolver = ScriptedResolver(ledger.ResolvedRunning())
            probe = run_async(wait(resolver, left_s))
            self.assertIsNone(probe.resolved)
            self.assertEqual(0, resolver.resolve_count)

    def test_deadline_while_the_attempt_runs(self) -> None:
        resolver = ScriptedResolver(ledger.ResolvedRunning())
        probe = run_async(wait(resolver, MIN_PROBE_DELAY_S * 1.5))
        self.assertIsNone(probe.resolved)
        self.assertEqual(1, resolver.resolve_count)
        self.assertEqual([], resolver.suspected)

    def test_resolution_before_the_deadline(self) -> None:
        resolver = ScriptedResolver(ledger.ResolvedNever())
        probe = run_async(wait(resolver, 60))
        self.assertEqual(ledger.ResolvedNever(), probe.resolved)
        self.assertEqual(['north'], resolver.suspected)
