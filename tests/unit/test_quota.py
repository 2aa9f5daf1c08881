"""Check the grants of tokens between edges and holders."""

from dataclasses import dataclass, field

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyknot.decisions.document import (
    OPEN_WORKSPACE,
    Configuration,
    Workspace,
)
from dragonflyknot.decisions.grants import (
    EDGE_GRANT_VALIDITY_S,
    GrantAnswer,
    GrantPool,
    GrantRequest,
    HeldGrant,
    Settlement,
    SpentToken,
)
from dragonflyknot.decisions.quota import Quota, QuotaSettings
from dragonflyknot.decisions.ratemessages import (
    Admit,
    AnswerGrant,
    AskGrant,
    ConfigurationInstalled,
    GiveBack,
    GrantAnswered,
    GrantRequested,
    Holder,
    HoldersChanged,
    LayoutConfirmed,
    LeaseExtended,
    RateCommand,
    RateEvent,
    RefuseRate,
    ShardGained,
    ShardLost,
    Spend,
    Ticked,
)
from experiments.fakerates import window_overrun

WORKSPACE = 'acme'
RATE = 4.0
BURST = 4.0
TOLERANCE = 1e-6
FOREVER_S = 1e9


def configuration(rate: float = RATE, burst: float = BURST) -> Configuration:
    return Configuration(
        workspaces_by_name={WORKSPACE: Workspace(WORKSPACE, rate, burst)},
        open_rate=rate,
        open_burst=burst,
    )


@dataclass
class Message:
    """Hold a message that a test may deliver at any time, or twice."""

    to: str
    event: RateEvent


@dataclass
class Network:
    """Connect a few quotas; messages are delivered only by the test."""

    shards: int
    now: float = 10
    quotas: dict[str, Quota] = field(default_factory=dict)
    clock_offsets_s: dict[str, float] = field(default_factory=dict)
    messages: list[Message] = field(default_factory=list)
    admitted: list[tuple[float, str, SpentToken]] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    request_count: int = 0

    def add(self, host: str, offset_s: float = 0) -> None:
        settings_ = QuotaSettings(shards=self.shards, min_tokens_per_shard=2)
        self.quotas[host] = Quota(host, 1, host, 'r', settings_)
        self.clock_offsets_s[host] = offset_s
        self.feed(host, ConfigurationInstalled(configuration()))

    def hold(self, host: str, shard: int) -> None:
        self.feed(host, ShardGained(shard))
        layout = self.quotas[host].layout
        assert layout is not None
        self.feed(host, LayoutConfirmed(layout.digest))
        self.feed(host, LeaseExtended(FOREVER_S))

    def tell_holders(self, *hosts: str) -> None:
        all_shards = frozenset(range(self.shards))
        holders = tuple(Holder(host, host, 'r', all_shards) for host in hosts)
        for host in self.quotas:
            self.feed(host, HoldersChanged(holders))

    def feed(self, host: str, event: RateEvent) -> None:
        now = self.now + self.clock_offsets_s[host]
        for command in self.quotas[host].handle(event, now):
            self.carry_out(host, command)

    def carry_out(self, host: str, command: RateCommand) -> None:
        match command:
            case Admit(_, spent):
                self.admitted.append((self.now, host, spent))
            case RefuseRate(request_id):
                self.refused.append(request_id)
            case AskGrant(holder, request):
                self.messages.append(Message(holder, GrantRequested(request)))
            case AnswerGrant(answer):
                edge = answer.grant_id.split('/')[0]
                self.messages.append(Message(edge, GrantAnswered(answer)))

    def spend(self, host: str, workspace: str = WORKSPACE) -> None:
        self.request_count += 1
        deadline = self.now + self.clock_offsets_s[host] + 1
        self.feed(host, Spend(f'q{self.request_count}', workspace, deadline))

    def deliver(self, index: int, again: bool = False) -> None:
        message = self.messages[index]
        if not again:
            self.messages.pop(index)
        self.feed(message.to, message.event)

    def deliver_all(self) -> None:
        while self.messages:
            self.deliver(0)

    def pass_time(self, elapsed_s: float) -> None:
        self.now += elapsed_s
        for host in self.quotas:
            self.feed(host, Ticked())

    def give_back(self, index: int) -> None:
        _, host, spent = self.admitted.pop(index)
        self.feed(host, GiveBack(spent))

    def overrun(self) -> float:
        return window_overrun([at for at, _, _ in self.admitted], RATE, BURST)


def make_network(shards: int = 2) -> Network:
    """Make a network of two holders with full buckets and an edge."""
    network = Network(shards)
    network.add('a', 5)
    network.add('b', 500)
    network.add('c', 50)
    network.hold('a', 0)
    network.hold('b', 1)
    network.tell_holders('a', 'b')
    network.pass_time(10)
    return network


steps = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'spend',
                'spend',
                'spend',
                'deliver',
                'deliver',
                'deliver',
                'double',
                'lose',
                'pass',
                'pass',
                'give-back',
                'hand-over',
            )
        ),
        st.integers(0, 1000),
        st.floats(0.001, 0.6),
    ),
    min_size=40,
    max_size=150,
)


class QuotaTest(testtools.TestCase):
    """Move tokens between daemons without creating any."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(script=steps)
    def test_bound_holds_whatever_the_network_does(
        self, script: list[tuple[str, int, float]]
    ) -> None:
        network = make_network()
        hosts = ('a', 'b', 'c')
        held_by = {0: 'a', 1: 'b'}
        for kind, pick, duration in script:
            match kind:
                case 'spend':
                    network.spend(hosts[pick % 3])
                case 'pass':
                    network.pass_time(duration)
                case 'give-back' if network.admitted:
                    network.give_back(pick % len(network.admitted))
                case 'hand-over':
                    shard = pick % 2
                    network.feed(held_by[shard], ShardLost(shard))
                    held_by[shard] = hosts[pick % 3]
                    network.hold(held_by[shard], shard)
                    network.tell_holders(*sorted(set(held_by.values())))
                case 'deliver' if network.messages:
                    network.deliver(pick % len(network.messages))
                case 'double' if network.messages:
                    network.deliver(pick % len(network.messages), again=True)
                case 'lose' if network.messages:
                    network.messages.pop(pick % len(network.messages))
            self.assertLessEqual(network.overrun(), TOLERANCE)

    def test_an_edge_without_shards_waits_for_a_grant(self) -> None:
        network = make_network()
        network.spend('c')
        self.assertEqual([], network.admitted)
        network.deliver_all()
        self.assertEqual(1, len(network.admitted))

    def test_a_token_at_hand_is_spent_at_once(self) -> None:
        network = make_network()
        spent = network.quotas['a'].spend(WORKSPACE, network.now + 5)
        self.assertIsNotNone(spent)

    def test_a_request_is_refused_after_a_short_wait(self) -> None:
        network = make_network()
        network.spend('c')
        network.messages.clear()
        network.pass_time(0.07)
        self.assertEqual(['q1'], network.refused)

    def test_a_silent_holder_does_not_use_up_the_wait(self) -> None:
        """Ask another holder before the wait ends if the first is silent."""
        network = make_network()
        network.spend('c')
        asked = [message.to for message in network.messages]
        silent = asked[0]
        network.messages.clear()
        network.pass_time(0.04)
        others = [other for other in network.messages if other.to != silent]
        self.assertTrue(others, f'only {silent} was asked')
        network.messages[:] = others
        network.deliver_all()
        self.assertEqual(1, len(network.admitted))

    def test_a_late_grant_is_not_spent(self) -> None:
        network = make_network()
        network.spend('c')
        network.deliver(0)
        late = network.messages[-1]
        network.messages.clear()
        network.pass_time(1.01)
        network.spend('c')
        network.feed('c', late.event)
        self.assertIsInstance(late.event, GrantAnswered)
        self.assertEqual([], network.admitted)

    def test_a_grant_counts_from_when_it_was_asked_for(self) -> None:
        for waited_s, is_valid in ((0.05, True), (0.11, False)):
            network = make_network()
            network.spend('c')
            network.deliver(0)
            answer = network.messages[-1].event
            network.messages.clear()
            network.pass_time(EDGE_GRANT_VALIDITY_S - 0.1)
            network.feed('c', answer)
            at = network.now + 50 + waited_s
            spent = network.quotas['c'].spend(WORKSPACE, at)
            self.assertEqual(is_valid, spent is not None)

    def test_a_token_reported_as_spent_is_not_given_back(self) -> None:
        grants = GrantPool()
        grants.credit(HeldGrant('g', 'a', 5, 5, expires_at=9))
        parts = list(grants.take(3, 0))
        grants.settle('a', 0, 0)
        for part in parts:
            grants.give_back(part, 0)
        self.assertEqual(2, grants.total(0))

    def test_a_doubled_answer_is_credited_once(self) -> None:
        network = make_network()
        for _ in range(3):
            network.spend('c')
        network.deliver(0)
        for message in tuple(network.messages):
            if isinstance(message.event, GrantAnswered):
                network.feed('c', message.event)
                network.feed('c', message.event)
        limiter = network.quotas['c'].limiters_by_workspace[WORKSPACE]
        held = limiter.grants.total(network.now + 50)
        self.assertLessEqual(len(network.admitted) + held, BURST / 2)

    def test_an_edge_reports_the_tokens_that_it_spent(self) -> None:
        network = make_network()
        network.spend('c')
        network.deliver_all()
        network.pass_time(0.3)
        settlements = [
            settlement
            for message in network.messages
            if isinstance(message.event, GrantRequested)
            for settlement in message.event.request.settlements
        ]
        self.assertEqual([Settlement('c/1/1', 0, 0)], settlements)

    def test_nothing_is_spent_once_the_lease_has_lapsed(self) -> None:
        network = make_network()
        for host in ('a', 'b'):
            network.feed(host, LeaseExtended(network.now))
        network.spend('a')
        network.spend('c')
        network.deliver_all()
        self.assertEqual([], network.admitted)

    def test_a_daemon_without_shards_says_so(self) -> None:
        network = make_network()
        request = GrantRequest('x/1', WORKSPACE, 2)
        network.feed('c', GrantRequested(request))
        expected = GrantAnswer('x/1', WORKSPACE, 0, holds=False)
        self.assertEqual(GrantAnswered(expected), network.messages[-1].event)

    def test_a_new_holder_waits_for_the_grants_of_the_old_one(self) -> None:
        network = make_network()
        network.feed('a', GrantRequested(GrantRequest('x/1', WORKSPACE, 2)))
        network.feed('a', ShardLost(0))
        network.hold('c', 0)
        network.pass_time(EDGE_GRANT_VALIDITY_S)
        limiter = network.quotas['c'].limiters_by_workspace.get(WORKSPACE)
        self.assertIsNone(limiter)
        spent = network.quotas['c'].spend(WORKSPACE, network.now + 50)
        self.assertIsNone(spent)
        limiter = network.quotas['c'].limiters_by_workspace[WORKSPACE]
        self.assertEqual(
            0, limiter.available_tokens(network.now + 50, usable=True)
        )

    def test_open_routes_have_a_rate_of_their_own(self) -> None:
        network = make_network()
        for _ in range(8):
            network.spend('a', OPEN_WORKSPACE)
            network.spend('b')
            network.deliver_all()
        workspaces = [spent.workspace for _, _, spent in network.admitted]
        self.assertEqual(BURST, workspaces.count(OPEN_WORKSPACE))
        self.assertEqual(BURST, workspaces.count(WORKSPACE))

    def test_an_unknown_workspace_is_refused(self) -> None:
        network = make_network()
        network.spend('a', 'nobody')
        self.assertEqual(['q1'], network.refused)

    def test_a_workspace_added_again_starts_empty(self) -> None:
        network = make_network()
        network.spend('a')
        empty = Configuration(workspaces_by_name={})
        network.feed('a', ConfigurationInstalled(empty))
        network.feed('a', ConfigurationInstalled(configuration()))
        spent = network.quotas['a'].spend(WORKSPACE, network.now + 5)
        self.assertIsNone(spent)
