"""Check that daemons act together over a shared table and loopback."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import testtools

from asyncrun import run_async
from dragonflyknot.callers.ports import Claimed
from dragonflyknot.daemon.fleet import Fleet, FleetParts
from dragonflyknot.daemon.policies import PolicyHolder
from dragonflyknot.daemon.settings import load_settings
from dragonflyknot.decisions import keyring, ledger
from dragonflyknot.decisions.calls import Attempt, Call, Outcome, UpstreamState
from dragonflyknot.decisions.members import OwnChanged
from dragonflyknot.decisions.routing import Router
from dragonflyknot.exchange.refusing import Refused
from dragonflyknot.operators.clock import system_clock
from dragonflyknot.operators.document import parse
from dragonflyknot.operators.keys import Keys
from dragonflyknot.operators.revisions import Change, Revisions
from dragonflyknot.peers.directory import Directory
from dragonflyknot.stores.backends import Backend
from dragonflyknot.stores.embedded import EmbeddedObjects, EmbeddedTable
from dragonflyknot.stores.rows import hash_of_key
from dragonflyknot.stores.settling import SettledTable
from dragonflyknot.stores.switches import Switches
from harness.addresses import free_addresses

ENVIRONMENT = 'trial'
DOCUMENT = Path(__file__).parents[2] / 'examples' / 'jadeleaf.toml'
WAIT_S = 8.0
VALID_KEY = keyring.ValidKey('studio')
WITHDRAWN = keyring.WithdrawnKey()


class _Site:
    """Hold daemons that share one table, two in each region."""

    def __init__(self) -> None:
        self.environment = ENVIRONMENT
        self.switches = Switches()
        self.backend = Backend(
            SettledTable(EmbeddedTable(self.switches)),
            EmbeddedObjects(self.switches),
        )
        self.parts: list[FleetParts] = []
        self.fleets: list[Fleet] = []
        self.stack = AsyncExitStack()

    async def open(self, count: int, *, one_reads: bool) -> None:
        begun = len(self.parts)
        for number in range(begun, begun + count):
            parts = self._parts(number)
            if one_reads and number > 0:
                parts.backend = _unreachable_backend()
            fleet = Fleet(parts)
            self.parts.append(parts)
            self.fleets.append(fleet)
            await self.stack.enter_async_context(fleet)

    def _parts(self, number: int) -> FleetParts:
        requests, control = free_addresses(2)
        first = self.parts[0].settings.control_listen if self.parts else ''
        settings = load_settings(
            {
                'host': f'h{number}',
                'data-center': f'dc{number}',
                'region': f'region{number % 2}',
                'environment': self.environment,
                'requests-listen': requests,
                'control-listen': control,
                'fleet-secret': 'a secret of the whole fleet',
                'table-endpoint': 'http://127.0.0.1:1',
                'objects-endpoint': 'http://127.0.0.1:1',
                'store-region': 'region0',
                'seeds': first,
            },
            {},
        ).unwrap()
        policies = PolicyHolder()
        return FleetParts(
            settings=settings,
            incarnation=7,
            keyring=keyring.Keyring(),
            ledger=ledger.Ledger(7),
            router=Router(settings.host, settings.data_center, settings.region),
            directory=Directory(),
            policies=policies,
            backend=self.backend,
            own_state=lambda: OwnChanged(
                f's{number}', UpstreamState.READY, None, 0
            ),
        )


class FleetTest(testtools.TestCase):
    """Members, configurations, keys, claims and tickets."""

    def test_daemons_find_each_other_by_the_table(self) -> None:
        async def body(site: _Site) -> None:
            await _until(lambda: all(map(_knows_three, site.parts)))
            attempt = Attempt(
                '0.r.1', 'h3', 7, Call('r', 'r', 'studio', 's3', 1, 0)
            )
            resolved = await site.fleets[0].calls.resolve(attempt)
            self.assertEqual(ledger.ResolvedNever(), resolved)
            late = site.parts[3].ledger.offer('0.r.1', 7, time.monotonic())
            self.assertEqual(ledger.Revoked(), late)

        self._run(body)

    def test_accepted_configuration_is_in_force_everywhere(self) -> None:
        async def body(site: _Site) -> None:
            document = parse(DOCUMENT.read_text()).unwrap()
            change = Change(ENVIRONMENT, document, base=0, operator='o')
            revisions = Revisions(site.backend, system_clock())
            (await revisions.accept(change)).unwrap()
            await _until(lambda: all(map(_has_policy, site.parts)))

        self._run(body)

    def test_key_lives_through_an_outage_and_dies_when_withdrawn(self) -> None:
        async def body(site: _Site) -> None:
            keys = Keys(site.backend.table, ENVIRONMENT, system_clock())
            issued = (await keys.issue('studio')).unwrap()
            digest = hash_of_key(issued.key)
            await _until(lambda: _all_say(site, digest, VALID_KEY))
            await _until(lambda: all(map(_knows_three, site.parts)))
            site.switches.delay_s = 30
            await asyncio.sleep(4)
            self.assertTrue(_all_say(site, digest, VALID_KEY))
            site.switches.delay_s = 0
            site.switches.down = True
            await asyncio.sleep(4)
            self.assertTrue(_all_say(site, digest, VALID_KEY))
            announced = await site.fleets[1].announce_withdrawal(digest)
            self.assertTrue(announced.told >= announced.needed)
            await _until(lambda: _all_say(site, digest, WITHDRAWN))
            await site.fleets[0].__aexit__(None, None, None)
            await site.fleets[2].__aexit__(None, None, None)
            ring = site.parts[1].keyring
            await _until(lambda: not ring.is_fresh(time.monotonic()))

        self._run(body)

    def test_operation_and_ticket_are_claimed_once(self) -> None:
        async def body(site: _Site) -> None:
            await _until(lambda: all(map(_knows_three, site.parts)))
            deadline = time.monotonic() + 5
            first, second = site.fleets[0].claims, site.fleets[1].claims
            for key in ('booking 1', first.issue_ticket()):
                won = await second.claim('studio', key, deadline)
                assert isinstance(won, Claimed), won
                taken = await first.claim('studio', key, deadline)
                assert isinstance(taken, Refused), taken
                self.assertIs(Outcome.UNKNOWN, taken.known_outcome)
                second.settle(won, may_have_run=False)
                await asyncio.sleep(0.3)
                again = await first.claim('studio', key, deadline)
                self.assertIsInstance(again, Claimed)
            site.switches.down = True
            refused = await first.claim('studio', 'booking 2', deadline)
            assert isinstance(refused, Refused), refused
            self.assertIs(Outcome.NOT_RUN, refused.known_outcome)
            ticket = first.issue_ticket()
            won = await second.claim('studio', ticket, deadline)
            self.assertIsInstance(won, Claimed)

        self._run(body)

    def test_daemon_of_another_environment_stays_apart(self) -> None:
        async def body(site: _Site) -> None:
            site.environment = 'production'
            await site.open(1, one_reads=False)
            await asyncio.sleep(1.5)
            stranger = site.parts[-1].settings.host
            self.assertEqual((), site.parts[-1].directory.hosts()[1:])
            for part in site.parts[:-1]:
                self.assertNotIn(stranger, part.directory.hosts())

        self._run(body)

    def test_one_daemon_that_reads_the_store_is_enough(self) -> None:
        async def body(site: _Site) -> None:
            document = parse(DOCUMENT.read_text()).unwrap()
            change = Change(ENVIRONMENT, document, base=0, operator='o')
            revisions = Revisions(site.backend, system_clock())
            (await revisions.accept(change)).unwrap()
            keys = Keys(site.backend.table, ENVIRONMENT, system_clock())
            issued = (await keys.issue('studio')).unwrap()
            digest = hash_of_key(issued.key)
            await _until(lambda: all(map(_has_policy, site.parts)))
            await _until(lambda: _all_say(site, digest, VALID_KEY))
            await keys.withdraw(issued.change.key_id)
            await _until(lambda: _all_say(site, digest, WITHDRAWN))

        self._run(body, one_reads=True)

    def _run(
        self,
        body: Callable[[_Site], Awaitable[None]],
        *,
        one_reads: bool = False,
    ) -> None:
        async def with_site() -> None:
            site = _Site()
            async with site.stack:
                await site.open(4, one_reads=one_reads)
                await body(site)

        run_async(with_site())


def _unreachable_backend() -> Backend:
    switches = Switches(down=True)
    return Backend(
        SettledTable(EmbeddedTable(switches)), EmbeddedObjects(switches)
    )


def _all_say(site: _Site, digest: str, expected: keyring.KeyCheck) -> bool:
    now = time.monotonic()
    return all(
        part.keyring.check(digest, now) == expected for part in site.parts
    )


def _knows_three(parts: FleetParts) -> bool:
    return len(parts.directory.hosts()) >= 4


def _has_policy(parts: FleetParts) -> bool:
    policy = parts.policies.current()
    return policy is not None and policy.configuration.revision.number == 1


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110 - state has no event
            await asyncio.sleep(0.05)
