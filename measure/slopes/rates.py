"""Slopes of tokens and grants, state machines alone."""

import time
from collections.abc import Callable, Iterator

from dragonflyknot.decisions import ratemessages as rate
from dragonflyknot.decisions.document import Configuration, Workspace
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, Settlement
from dragonflyknot.decisions.quota import Quota, QuotaSettings
from dragonflyknot.peers.controlwire import (
    encode_grant_answer,
    encode_grant_request,
)
from slopes.slope import Slope

EVENTS = 5000
WORKSPACE = 'harbour-audio'
PLENTY = 1e9
SETTINGS = QuotaSettings()
MICROSECONDS = 1_000_000
START_S = 10.0
STEP_S = 0.001


def measure(large: bool) -> Iterator[Slope]:
    """Yield the cost of a token at hand and of a grant."""
    spend_us = _us_each(_spender(_holder()))
    yield Slope('edge: token at hand', 'us', spend_us)
    yield Slope('holder: grant, decision', 'us', _us_each(_lender(_holder())))
    request = _request(1)
    answer = GrantAnswer(request.grant_id, WORKSPACE, 4)
    size = (
        encode_grant_request(request).ByteSize()
        + encode_grant_answer(answer).ByteSize()
    )
    yield Slope('grant: request and answer', 'bytes', size)


def _holder() -> Quota:
    quota = Quota('host-1', 1, 'dc1', 'north', SETTINGS)
    limits = Workspace(WORKSPACE, PLENTY, PLENTY)
    configuration = Configuration(workspaces_by_name={WORKSPACE: limits})
    events: list[rate.RateEvent] = [
        rate.ConfigurationInstalled(configuration),
        rate.LeaseExtended(PLENTY),
    ]
    events += [rate.ShardGained(shard) for shard in range(SETTINGS.shards)]
    for event in events:
        quota.handle(event, 0)
    return quota


def _spender(quota: Quota) -> Callable[[int, float], object]:
    return lambda number, now: quota.spend(WORKSPACE, now)


def _lender(quota: Quota) -> Callable[[int, float], object]:
    return lambda number, now: quota.handle(
        rate.GrantRequested(_request(number)), now
    )


def _us_each(step: Callable[[int, float], object]) -> float:
    began = time.perf_counter()
    for number in range(EVENTS):
        step(number, START_S + number * STEP_S)
    return (time.perf_counter() - began) / EVENTS * MICROSECONDS


def _request(number: int) -> GrantRequest:
    settlement = Settlement(f'host-2/1796359260000/{number - 1}', 0, 0)
    return GrantRequest(
        f'host-2/1796359260000/{number}', WORKSPACE, 4, (settlement,)
    )
