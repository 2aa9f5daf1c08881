"""Wire the border packages to the state machines and run them.

`Daemon` owns every part through one exit stack: parts are opened in the
order in which they need each other and closed in reverse.
"""

import asyncio
import random
import time
from contextlib import AsyncExitStack, suppress

import structlog

from dragonflyknot.callers.edge import Edge
from dragonflyknot.callers.ports import EdgePorts
from dragonflyknot.daemon import lifecycle, listeners, standalone
from dragonflyknot.daemon.policies import PolicyHolder
from dragonflyknot.daemon.settings import Settings
from dragonflyknot.decisions import admission
from dragonflyknot.decisions.chains import Chains
from dragonflyknot.decisions.document import Configuration, Service
from dragonflyknot.decisions.keyring import Keyring
from dragonflyknot.decisions.ledger import Ledger
from dragonflyknot.decisions.retry import RetryBudget
from dragonflyknot.decisions.routing import Router
from dragonflyknot.exchange.sessions import relay_session
from dragonflyknot.exchange.tally import Tally
from dragonflyknot.peers.directory import Directory
from dragonflyknot.peers.forward import Forwarder
from dragonflyknot.peers.receiving import Receiver
from dragonflyknot.peers.sessions import PeerSessions
from dragonflyknot.upstreams.announcements import Announcer
from dragonflyknot.upstreams.gate import Gate, GatePorts
from dragonflyknot.upstreams.listener import UpstreamListener
from dragonflyknot.upstreams.turns import Turns

EXIT_OK = 0
EXIT_CUT_OFF = 1
SILENCE_CHECK_S = 0.5
NS_PER_MS = 1_000_000

_log = structlog.get_logger(__name__)


class Daemon:
    """Own the parts of one daemon."""

    def __init__(self, settings: Settings) -> None:
        """Make the state machines; `__aenter__` opens the rest."""
        self.settings = settings
        self.incarnation = standalone.incarnation(time.time_ns() // NS_PER_MS)
        self.tally = Tally()
        self.policies = PolicyHolder()
        self.keyring = Keyring()
        self.ledger = Ledger(self.incarnation)
        self.chains = Chains()
        self.announcer = Announcer()
        self.directory = Directory()
        self.router = Router(
            settings.host, settings.data_center, settings.region
        )
        self.turns = Turns(admission.Gate(Service(name='')))
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'Daemon':
        """Open sessions, loops and listeners."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close everything in reverse order."""
        await self._stack.aclose()

    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self.edge.in_flight + self.gate.in_flight

    def drain(self) -> None:
        """Refuse new work as not run; work in flight goes on."""
        self.edge.is_draining = True
        self.gate.is_draining = True
        _log.info('draining', in_flight=self.in_flight())

    async def _open(self, stack: AsyncExitStack) -> None:
        self.policies.subscribe(self._configure)
        sessions = await stack.enter_async_context(PeerSessions(relay_session))
        upstream_session = await stack.enter_async_context(relay_session())
        secret = self.settings.fleet_secret.get_secret_value()
        forwarder = Forwarder(
            sessions, self.directory, standalone.UnknownResolver(), secret
        )
        self.gate = Gate(
            GatePorts(
                turns=self.turns,
                ledger=self.ledger,
                chains=self.chains,
                announcer=self.announcer,
                session=upstream_session,
                tally=self.tally,
            )
        )
        self.edge = Edge(
            EdgePorts(
                policies=self.policies,
                keyring=self.keyring,
                rates=standalone.LocalRates(self.policies),
                router=self.router,
                budget=RetryBudget(),
                sender=forwarder,
                operations=standalone.NoOperations(),
                chains=self.chains,
                tally=self.tally,
                rng=random.Random(),
                gate_limit=lambda: self.turns.report().limit,
            )
        )
        standalone.load(self)
        await self._listen(stack, secret)

    async def _listen(self, stack: AsyncExitStack, secret: str) -> None:
        receiver = Receiver(self.gate, secret)
        upstream = UpstreamListener(self.announcer, self.turns, self.edge)
        handlers_by_address = {
            self.settings.requests_listen: receiver.serve,
            self.settings.upstream_listen: upstream.serve,
            self.settings.callers_listen: self.edge.serve_caller,
        }
        for address, handler in handlers_by_address.items():
            await stack.enter_async_context(
                listeners.listening(address, handler)
            )
        watch = asyncio.create_task(_watch_silence(upstream))
        stack.push_async_callback(_cancel, watch)

    def _configure(self, configuration: Configuration) -> None:
        weights = {
            name: workspace.weight
            for name, workspace in configuration.workspaces_by_name.items()
        }
        self.turns.tell(admission.WeightsChanged(weights))
        self.keyring.bound_s = configuration.key_freshness_seconds


async def run_daemon(settings: Settings) -> int:
    """Run until a signal, drain and return the exit code."""
    with lifecycle.StopSignals() as stop:
        async with Daemon(settings) as daemon:
            _log.info('started', incarnation=daemon.incarnation)
            await stop.first.wait()
            daemon.drain()
            is_idle = await lifecycle.drained(
                daemon.in_flight, stop, settings.drain_seconds
            )
    _log.info('stopped', cut_off=not is_idle)
    return EXIT_OK if is_idle else EXIT_CUT_OFF


async def _watch_silence(upstream: UpstreamListener) -> None:
    while True:
        await asyncio.sleep(SILENCE_CHECK_S)
        upstream.check_silence()


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
