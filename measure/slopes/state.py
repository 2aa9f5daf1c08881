"""Slopes of membership, keys, ledger, claims and tickets.

State machines alone, in virtual time and from one seed; the wire's part is
measured over loopback.
"""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from dragonflyknot.decisions import keyring, ledger, operations, tickets
from dragonflyknot.decisions import members as msg
from dragonflyknot.decisions.document import Revision
from dragonflyknot.decisions.membership import PROBE_INTERVAL_S, Membership
from dragonflyknot.decisions.viewfilter import (
    MAX_FULL_VIEW_MEMBERS,
    MAX_SAMPLED_MEMBERS,
)
from dragonflyknot.peers.gossipwire import encode_gossip
from harness.gossipfleet import GossipFleet, build_member
from slopes.callbytes import measure_call_bytes, measure_call_us
from slopes.slope import Slope

SEED = 1
ENTRIES = 5000
SETTLE_S = 1.0
STEADY_S = 2.0
SPREAD_LIMIT_S = 30.0
SAMPLED_SHARE = 0.05
SERVICE_MEMBERS = 21
FOLLOWED_BY_LARGE = 10
SMALL_SERVICES = 4
WHOLE_SIZES = (10, 30, 100)
LARGE_SIZES = (1_000, 21_000)
SPREAD_STEP_S = 0.25
KEY_BOUND_S = 5.0
KEY_TICK_S = 0.2
KEY_TICKS = 150
BYTES_PER_KB = 1000


@dataclass(slots=True)
class _Traffic:
    """Count messages and the bytes of some of them."""

    rng: random.Random
    messages: int = 0
    sampled: int = 0
    sampled_bytes: int = 0

    def note(self, _sender: str, _receiver: str, message: msg.Gossip) -> None:
        self.messages += 1
        if self.rng.random() < SAMPLED_SHARE:
            self.sampled += 1
            self.sampled_bytes += encode_gossip(message).ByteSize()

    def bytes_per_message(self) -> float:
        return self.sampled_bytes / max(self.sampled, 1)


def measure(large: bool) -> Iterator[Slope]:
    """Yield every slope, with gossip at each size of the fleet."""
    sizes = (*WHOLE_SIZES, *(LARGE_SIZES if large else LARGE_SIZES[:1]))
    call_bytes = asyncio.run(measure_call_bytes())
    yield Slope('control call beyond its messages', 'bytes', call_bytes)
    call_us = asyncio.run(measure_call_us())
    yield Slope('control call, client and server together', 'us', call_us)
    for size in sizes:
        yield from _gossip(size, call_bytes)
        yield _key_reads(size)
    yield from _memory()


def _gossip(size: int, call_bytes: float) -> Iterator[Slope]:
    fleet = _settled_fleet(size)
    traffic = _Traffic(random.Random(SEED))
    fleet.on_message = traffic.note
    started_s = time.process_time()
    fleet.run(STEADY_S)
    cpu_s = time.process_time() - started_s
    # A call is two messages; each daemon sends and receives every one once.
    per_s = traffic.messages / STEADY_S / size
    message_bytes = traffic.bytes_per_message() + call_bytes / 2
    name = f'gossip at {size} members'
    yield Slope(f'{name}: messages sent a daemon', '1/s', per_s)
    yield Slope(f'{name}: message', 'bytes', traffic.bytes_per_message())
    yield Slope(
        f'{name}: sent and received a daemon',
        'KB/s',
        2 * per_s * message_bytes / BYTES_PER_KB,
    )
    yield Slope(
        f'{name}: state machine', 'us/message', cpu_s / traffic.messages * 1e6
    )
    yield Slope(f'{name}: revision known by all', 's', _spread_s(fleet))


def _spread_s(fleet: GossipFleet) -> float:
    """Return the time until a revision is known by the whole fleet."""
    first = next(iter(fleet.daemons_by_host))
    begun_at = fleet.now
    fleet.feed(first, msg.RevisionLearned(Revision(2, 'd' * 64, 'n' * 32)))
    while fleet.now - begun_at < SPREAD_LIMIT_S:
        if len(fleet.revision_at_by_host) == len(fleet.daemons_by_host):
            return max(fleet.revision_at_by_host.values()) - begun_at
        fleet.run(SPREAD_STEP_S)
    return float('inf')


def _settled_fleet(size: int) -> GossipFleet:
    fleet = _whole_fleet(size) if size in WHOLE_SIZES else _large_fleet(size)
    learned = msg.RevisionLearned(Revision(1, 'd' * 64, 'n' * 32))
    for host in fleet.daemons_by_host:
        fleet.feed(host, learned)
    fleet.run(SETTLE_S)
    fleet.revision_at_by_host.clear()
    return fleet


def _whole_fleet(size: int) -> GossipFleet:
    members = [
        build_member(number, f's{number % SMALL_SERVICES}')
        for number in range(size)
    ]
    fleet = GossipFleet(SEED)
    for member in members:
        fleet.add(member, known=[one for one in members if one is not member])
    return fleet


def _large_fleet(size: int) -> GossipFleet:
    """Return a fleet in which each daemon follows some services."""
    services = size // SERVICE_MEMBERS
    rng = random.Random(SEED)
    members_by_service: list[list[msg.Member]] = [[] for _ in range(services)]
    everyone: list[msg.Member] = []
    for number in range(size):
        home = number % services
        member = build_member(number, f's{home}', data_centers=8, regions=4)
        members_by_service[home].append(member)
        everyone.append(member)
    fleet = GossipFleet(SEED)
    for number, member in enumerate(everyone):
        followed = rng.sample(range(services), FOLLOWED_BY_LARGE)
        known = rng.sample(everyone, MAX_SAMPLED_MEMBERS)
        for service in (number % services, *followed):
            known.extend(members_by_service[service])
        fleet.add(member, known=(one for one in known if one is not member))
        for service in followed:
            fleet.feed(member.host, msg.ServiceFollowed(f's{service}'))
    return fleet


def _key_reads(size: int) -> Slope:
    """Count the reads that keep every copy fresh by gossip and store."""
    rng = random.Random(SEED)
    rings = [keyring.Keyring(KEY_BOUND_S) for _ in range(size)]
    reads = 0
    for tick in range(KEY_TICKS):
        now = tick * KEY_TICK_S
        is_settled = tick * 2 >= KEY_TICKS
        for ring in rings:
            if rng.random() < KEY_TICK_S / PROBE_INTERVAL_S:
                _exchange(ring, rings[rng.randrange(size)], now)
            if ring.needs_read(now, rng, is_large=size > MAX_FULL_VIEW_MEMBERS):
                ring.confirm_by_store(0, now)
                reads += is_settled
            assert ring.is_fresh(now)
    measured_s = KEY_TICKS / 2 * KEY_TICK_S
    return Slope(
        f'keys at {size} daemons: store', 'reads/s', reads / measured_s
    )


def _exchange(
    asker: keyring.Keyring, peer: keyring.Keyring, now: float
) -> None:
    told = asker.freshness(now)
    asker.confirm_by_peer(peer.freshness(now), now)
    if peer.should_refresh_from(told, now):
        peer.confirm_by_peer(told, now)


def _memory() -> Iterator[Slope]:
    yield Slope('member in a view', 'bytes', _bytes_each(_fill_view))
    yield Slope('ledger attempt', 'bytes', _bytes_each(_fill_ledger))
    yield Slope('key', 'bytes', _bytes_each(_fill_keyring))
    yield Slope('claim of an operation', 'bytes', _bytes_each(_fill_claims))
    yield Slope('spent ticket', 'bytes', _bytes_each(_fill_tickets))


def _bytes_each(fill: Callable[[int], object]) -> float:
    tracemalloc.start()
    kept = fill(ENTRIES)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / ENTRIES


def _fill_view(count: int) -> Membership:
    own = build_member(count, 's')
    return Membership(
        own, (build_member(number, 's') for number in range(count))
    )


def _fill_ledger(count: int) -> ledger.Ledger:
    filled = ledger.Ledger(7)
    for number in range(count):
        request = f'{number:032x}'
        attempt = ledger.make_attempt_id(filled.epoch(0), request, 1)
        filled.offer(attempt, 7, 0)
        filled.mark_started(attempt, 0)
        filled.mark_finished(attempt, answer_kept=False, now=0)
    return filled


def _fill_keyring(count: int) -> keyring.Keyring:
    filled = keyring.Keyring()
    records = tuple(
        keyring.KeyRecord(f'{number:064x}', 'w', False, number)
        for number in range(count)
    )
    filled.install(keyring.KeyChanges(0, count, records))
    return filled


def _fill_claims(count: int) -> operations.OperationClaims:
    filled = operations.OperationClaims()
    for number in range(count):
        claim = operations.Claim(f'{number:064x}', f'{number:024x}')
        filled.handle(operations.ClaimRequested(claim))
        filled.handle(operations.InsertApplied())
        filled.handle(operations.ClaimEnded(claim, may_have_run=True))
    return filled


def _fill_tickets(count: int) -> tickets.TicketGuard:
    guard = tickets.TicketGuard('10.0.0.1', 7)
    for number in range(count):
        ticket = guard.issue(f'{number:012x}', 0)
        spending = tickets.Spending(ticket, 'w', f'{number:024x}')
        guard.spend(spending, 0)
    return guard
