"""Check that a burst is covered while the first grant request is pending.

Many requests of one workspace arrive at once at a daemon that holds no shard,
and its only holder answers slowly. The first grant request covers only the
first caller, so a second one must cover the others before it is answered.
"""

import testtools

from dragonflyknot.decisions.document import Configuration, Workspace
from dragonflyknot.decisions.quota import (
    WAITING_TICK_INTERVAL_S,
    Quota,
    QuotaSettings,
)
from dragonflyknot.decisions.ratemessages import (
    AskGrant,
    ConfigurationInstalled,
    Holder,
    HoldersChanged,
    RateEvent,
    Spend,
    Ticked,
)

WORKSPACE = 'studio'
RATE = 4000.0
BURST = 8000.0
REQUESTS = 40
MAX_PENDING = 2


class BurstTest(testtools.TestCase):
    """Cover all waiters without an answer to the first grant request."""

    def setUp(self) -> None:
        super().setUp()
        self.quota = Quota('edge', 1, 'dc1', 'north', QuotaSettings())
        self.requested_amounts: list[float] = []
        limits = Workspace(WORKSPACE, RATE, BURST)
        self.feed(
            ConfigurationInstalled(
                Configuration(
                    workspaces_by_name={WORKSPACE: limits},
                    open_rate=RATE,
                    open_burst=BURST,
                )
            )
        )
        shards = frozenset(range(QuotaSettings().shards))
        holder = Holder('north', 'dc1', 'north', shards)
        self.feed(HoldersChanged((holder,)))

    def feed(self, event: RateEvent, now: float = 0) -> None:
        for command in self.quota.handle(event, now):
            match command:
                case AskGrant(request=request):
                    self.requested_amounts.append(request.amount)

    def test_second_ask_covers_the_rest(self) -> None:
        for number in range(REQUESTS):
            self.feed(Spend(f'r{number}', WORKSPACE, 10))
        self.feed(Ticked(), WAITING_TICK_INTERVAL_S)
        self.assertGreaterEqual(sum(self.requested_amounts), REQUESTS)
        self.assertEqual(MAX_PENDING, len(self.requested_amounts))

    def test_silent_holder_is_not_flooded(self) -> None:
        for number in range(REQUESTS):
            self.feed(Spend(f'r{number}', WORKSPACE, 10))
        for tick in range(1, 6):
            self.feed(Ticked(), tick * WAITING_TICK_INTERVAL_S)
        self.assertEqual(MAX_PENDING, len(self.requested_amounts))
