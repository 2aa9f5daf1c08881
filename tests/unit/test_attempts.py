"""Test how the edge retries a call, with scripted gates."""

import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import cast

import testtools
from aiohttp import web
from multidict import CIMultiDict

from asyncrun import run_async
from dragonflyknot.callers import ports
from dragonflyknot.callers.attempts import Attempts, CallResult, CallRun
from dragonflyknot.decisions import ledger, routing
from dragonflyknot.decisions.calls import (
    Attempt,
    Call,
    Outcome,
    UpstreamState,
)
from dragonflyknot.decisions.chains import Chains
from dragonflyknot.decisions.keyring import Keyring
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.decisions.retry import RetryBudget, RetryPool
from dragonflyknot.exchange.bodies import RequestBody
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.exchange.sending import (
    ConnectionFailed,
    GateResult,
    OutgoingRequest,
    Rejected,
)
from dragonflyknot.exchange.tally import Tally

HOSTS = ('host-1', 'host-2', 'host-3', 'host-4', 'host-5', 'host-6')
SHED = Rejected(Refused(Refusal.SHED, 1), None, retries_unused=9)
FINAL_SHED = Rejected(Refused(Refusal.SHED, 1, is_final=True), None, 9)
BROKE = Rejected(Refused(Refusal.UPSTREAM_BROKE), None, 9)
UNREACHABLE = ConnectionFailed(was_sent=False)


@dataclass(slots=True)
class ScriptedSender:
    """Answer attempts from a script and resolve all of them alike."""

    script: list[GateResult]
    resolved: ledger.Resolved = field(default_factory=ledger.ResolvedUnknown)
    sent: list[Attempt] = field(default_factory=list)

    def epoch(self, host: str) -> int:
        """Return the first epoch."""
        return 0

    async def send(
        self, attempt: Attempt, outgoing: OutgoingRequest
    ) -> GateResult:
        """Return the next answer of the script; repeat the last one."""
        self.sent.append(attempt)
        if len(self.script) > 1:
            return self.script.pop(0)
        return self.script[0]

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Return the scripted resolution."""
        return self.resolved

    def suspect(self, host: str, since: float) -> None:
        """Ignore the report."""


def run_call(
    sender: ScriptedSender, retries: int, *, idempotent: bool = False
) -> CallResult:
    """Run one call against scripted gates."""
    return run_async(_run(sender, retries, idempotent))


async def _run(
    sender: ScriptedSender, retries: int, idempotent: bool
) -> CallResult:
    now = time.monotonic()
    router = routing.Router('edge', 'dc', 'region')
    for host in HOSTS:
        seen = routing.TargetSeen(
            host, 1, 'profile', 'dc', 'region', UpstreamState.READY, None
        )
        router.handle(seen, now)
    unused = cast('object', None)
    edge_ports = ports.EdgePorts(
        policies=cast('ports.Policies', unused),
        keyring=cast('Keyring', unused),
        rates=cast('ports.Rates', unused),
        router=router,
        budget=filled_budget(now),
        sender=sender,
        operations=cast('ports.Operations', unused),
        chains=cast('Chains', unused),
        tally=Tally(),
        rng=random.Random(1),
    )
    request = cast('web.BaseRequest', unused)
    call = Call('r', 'c', 'w', 'profile', 5, now + 5, idempotent=idempotent)
    outgoing = OutgoingRequest(
        'GET', '/', CIMultiDict(), RequestBody(b'', 0, request)
    )
    run = CallRun(call, request, outgoing, RetryPool(retries))
    return await Attempts(edge_ports).run(run)


def filled_budget(now: float) -> RetryBudget:
    """Return a retry budget filled by many successes."""
    budget = RetryBudget()
    for _ in range(1000):
        budget.record_success(now)
    return budget


def outcome_of(result: CallResult) -> Outcome:
    """Return the outcome of a refusal."""
    assert isinstance(result, Refused)
    return result.known_outcome


def hosts_of(attempts: Iterable[Attempt]) -> list[str]:
    """Return the hosts that attempts were sent to."""
    return [attempt.host for attempt in attempts]


class RetryTest(testtools.TestCase):
    """Only calls that did not run, or are idempotent, are retried."""

    def test_attempts_are_bounded_by_the_pool(self) -> None:
        for retries in range(4):
            for received in (SHED, UNREACHABLE):
                sender = ScriptedSender([received])
                result = run_call(sender, retries)
                self.assertIs(Outcome.NOT_RUN, outcome_of(result))
                self.assertEqual(retries + 1, len(sender.sent))
                hosts = hosts_of(sender.sent)
                self.assertEqual(len(hosts), len(set(hosts)))

    def test_deeper_refusal_is_final(self) -> None:
        sender = ScriptedSender([FINAL_SHED])
        run_call(sender, 3)
        self.assertEqual(1, len(sender.sent))

    def test_failure_may_have_run(self) -> None:
        sender = ScriptedSender([BROKE])
        result = run_call(sender, 3)
        self.assertIs(Outcome.UNKNOWN, outcome_of(result))
        self.assertEqual(1, len(sender.sent))

    def test_idempotent_failure_is_retried(self) -> None:
        sender = ScriptedSender([BROKE])
        run_call(sender, 2, idempotent=True)
        self.assertEqual(3, len(sender.sent))

    def test_refusal_after_a_failure_is_unknown(self) -> None:
        sender = ScriptedSender([BROKE, SHED])
        result = run_call(sender, 1, idempotent=True)
        self.assertIs(Outcome.UNKNOWN, outcome_of(result))


class LostAttemptTest(testtools.TestCase):
    """A lost attempt is retried only if it is certain never to run."""

    def test_never_is_retried_and_reported_as_not_run(self) -> None:
        sender = ScriptedSender(
            [ConnectionFailed(True)], ledger.ResolvedNever()
        )
        result = run_call(sender, 2)
        self.assertIs(Outcome.NOT_RUN, outcome_of(result))
        self.assertEqual(3, len(sender.sent))

    def test_other_resolutions_are_not_retried(self) -> None:
        cases = (
            (ledger.ResolvedUnknown(), Outcome.UNKNOWN),
            (ledger.ResolvedRunning(), Outcome.UNKNOWN),
            (ledger.ResolvedQueued(), Outcome.UNKNOWN),
            (ledger.ResolvedFinished(answer_kept=False), Outcome.RAN),
        )
        for resolved, outcome in cases:
            sender = ScriptedSender([ConnectionFailed(True)], resolved)
            result = run_call(sender, 2)
            self.assertIs(outcome, outcome_of(result))
            self.assertEqual(1, len(sender.sent))

    def test_lost_attempt_spends_the_retries_handed_over(self) -> None:
        sender = ScriptedSender(
            [ConnectionFailed(True)], ledger.ResolvedUnknown()
        )
        run_call(sender, 9, idempotent=True)
        self.assertEqual(2, len(sender.sent))
