"""The site of a soak: daemons as processes, the rest in this process."""

import asyncio
import random
import signal
import time
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType

from harness.addresses import free_addresses
from harness.processes import Process
from harness.relay import Delay, Direction, Drop, Fault, Hold, Pass, Relay
from harness.sitedaemon import site_daemon, until
from rowstandin import RowStandIn, standing_in
from sitefleet import configuration
from soak import entry, schedule
from soak.callers import Callers
from soak.record import SERVICE, Interruption, PlannedStop, Record
from soak.upstream import SLOW_FACTOR, SoakUpstream

CALLERS_OF_HOST = 3
DOWN_S = 0.4
RECOVERED_S = 20
GRACE_S = 2
SERVED_IN_ROW = 5
LINK_DELAY_S = 0.15


class SoakHost:
    """Own a daemon's process, its upstream and the relays before both."""

    def __init__(self, name: str, record: Record, rng: random.Random) -> None:
        """Choose addresses; `relay` leads to the upstream, `link` to peers."""
        daemon = site_daemon(name, SERVICE)
        self._listen = free_addresses(1)[0]
        self.relay = Relay(self._listen, daemon.target)
        self._behind = free_addresses(1)[0]
        self.link = Relay(self._behind, daemon.peers)
        self.daemon = daemon
        self.upstream = SoakUpstream(daemon, record, rng)
        self.process: Process | None = None

    @property
    def host(self) -> str:
        """Return the name of the host."""
        return self.daemon.name

    def program(self, guards: tuple[str, ...]) -> tuple[str, ...]:
        """Return the command line of the daemon without some guards."""
        return (entry.__file__, self.daemon.peers, self._behind, *guards)

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return self.daemon.callers

    @property
    def pid(self) -> int:
        """Return the id of the process, 0 between two of them."""
        return 0 if self.process is None else self.process.pid

    @property
    def port(self) -> int:
        """Return the port of the upstream."""
        return int(self._listen.rpartition(':')[2])


class SoakSite:
    """Run the site of a soak and cause faults; a context manager."""

    def __init__(
        self, seed: int, folder: Path, guards: tuple[str, ...]
    ) -> None:
        """Prepare hosts without processes."""
        self._folder = folder
        self._guards = guards
        self._rng = random.Random(seed)
        self._store = RowStandIn()
        self._store_address = free_addresses(1)[0]
        self._version = 1
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self.record = Record()
        self.keys = ['key-1', 'key-2']
        self.callers = Callers(self.record, self._rng, list(self.keys))
        self.hosts_by_name = {
            name: SoakHost(name, self.record, self._rng)
            for name in schedule.HOSTS
        }

    async def __aenter__(self) -> 'SoakSite':
        """Start everything and wait until all hosts serve."""
        self._write_configuration()
        port = int(self._store_address.rpartition(':')[2])
        await self._stack.enter_async_context(standing_in(self._store, port))
        for host in self.hosts_by_name.values():
            await self._stack.enter_async_context(
                host.upstream.fake.listening(host.port)
            )
            await self._stack.enter_async_context(host.relay)
            await self._stack.enter_async_context(host.link)
            await self._start(host)
            self._keep(host.upstream.beat_on())
        await self.until_all_serve()
        for host in self.hosts_by_name.values():
            for _ in range(CALLERS_OF_HOST):
                self._keep(self.callers.ask(host))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End what this site started, by its pid."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts_by_name.values():
            if host.process is not None:
                await host.process.kill()
        await self._stack.aclose()

    async def cause(self, fault: schedule.Fault) -> None:
        """Cause a fault and end it again."""
        match fault:
            case schedule.Kill(name):
                await self._kill(self.hosts_by_name[name])
            case schedule.Freeze(name, for_s):
                await self._freeze(self.hosts_by_name[name], for_s)
            case schedule.Stop(name):
                await self._stop(self.hosts_by_name[name])
            case schedule.UpstreamSilent(name, for_s):
                await self._silence(self.hosts_by_name[name].relay, for_s)
            case schedule.UpstreamResets(name):
                self.hosts_by_name[name].relay.cut()
            case schedule.UpstreamSlow(name, for_s):
                await self._slow(self.hosts_by_name[name].upstream, for_s)
            case schedule.UpstreamLeaves(name):
                await self.hosts_by_name[name].upstream.leave()
            case schedule.UpstreamDeregisters():
                await self._deregister(fault)
            case schedule.LinkHeld(name, for_s, is_inward):
                direction = (
                    Direction.TO_TARGET if is_inward else Direction.TO_CLIENT
                )
                await self._hurt_link(name, Hold(), for_s, direction)
            case schedule.LinkSlow(name, for_s):
                delay = Delay(LINK_DELAY_S)
                await self._hurt_link(name, delay, for_s, *Direction)
            case schedule.LinkResets(name):
                self.hosts_by_name[name].link.cut()
            case schedule.KeyWithdrawn():
                self._replace_key()
            case _:
                await self._hurt_store(fault)

    async def _deregister(self, fault: schedule.UpstreamDeregisters) -> None:
        host = self.hosts_by_name[fault.host]
        late_heartbeat = await host.upstream.deregister(
            fault.late_s, is_heard=fault.is_heard
        )
        if late_heartbeat is None:
            return
        restart = self._kill(host) if fault.kills_daemon else asyncio.sleep(0)
        await asyncio.gather(
            late_heartbeat,
            restart,
            host.upstream.stay_and_start(keeps_id=fault.keeps_id),
        )

    def links(self) -> int:
        """Return how many connections came from other hosts."""
        hosts = self.hosts_by_name.values()
        return sum(host.link.accepted for host in hosts)

    async def until_all_serve(self) -> None:
        """Wait until every host serves some reads in a row."""
        await asyncio.gather(
            *(self._until_serves(host) for host in self.hosts_by_name.values())
        )

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _start(self, host: SoakHost) -> None:
        host.process = await host.daemon.start(
            self._folder,
            self._store_address,
            host.program(self._guards),
            GRACE_S,
        )

    async def _kill(self, host: SoakHost) -> None:
        process = host.process
        if process is None:
            return
        host.process = None
        await process.kill()
        await asyncio.sleep(DOWN_S)
        await self._start(host)

    async def _freeze(self, host: SoakHost, for_s: float) -> None:
        process = host.process
        if process is None:
            return
        began_at = time.monotonic()
        process.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        process.send(signal.SIGCONT)
        self._interrupted(host.host, began_at)

    async def _hurt_link(
        self, name: str, fault: Fault, for_s: float, *directions: Direction
    ) -> None:
        began_at = time.monotonic()
        link = self.hosts_by_name[name].link
        link.cause(fault, *directions)
        await asyncio.sleep(for_s)
        link.cause(Pass(), *directions)
        self._interrupted(name, began_at)

    def _interrupted(self, name: str, began_at: float) -> None:
        self.record.interruptions.append(
            Interruption(name, began_at, time.monotonic())
        )

    async def _stop(self, host: SoakHost) -> None:
        process = host.process
        if process is None:
            return
        began_at = time.monotonic()
        await process.stop()
        if host.process is not process:
            # It was killed during its stop, and is started again there.
            return
        self.record.stops.append(
            PlannedStop(host.host, process.pid, began_at, time.monotonic())
        )
        host.process = None
        await asyncio.sleep(DOWN_S)
        await self._start(host)

    async def _silence(self, relay: Relay, for_s: float) -> None:
        relay.cause(Drop(), Direction.TO_CLIENT)
        await asyncio.sleep(for_s)
        relay.cause(Pass(), Direction.TO_CLIENT)
        # What was dropped is missing on connections that stayed open.
        relay.cut()

    async def _slow(self, upstream: SoakUpstream, for_s: float) -> None:
        upstream.slow_factor = SLOW_FACTOR
        await asyncio.sleep(for_s)
        upstream.slow_factor = 1

    async def _hurt_store(self, fault: schedule.Fault) -> None:
        switches = self._store.switches
        match fault:
            case schedule.StoreOut(0, for_s):
                switches.silent = True
                await asyncio.sleep(for_s)
                switches.silent = False
            case schedule.StoreOut(status, for_s):
                switches.status = status
                await asyncio.sleep(for_s)
                switches.status = 0
            case schedule.StoreLoses(answers):
                switches.lose_answers += answers
            case schedule.StoreForgets():
                self._store.forget_history()

    def _replace_key(self) -> None:
        withdrawn = self.keys.pop(0)
        self._version += 1
        self.keys.append(f'key-{self._version + 1}')
        self._write_configuration()
        self.record.withdrawn_at_by_key[withdrawn] = time.monotonic()
        # Callers go on to use the key that was withdrawn last.
        self.callers.keys[:] = [withdrawn, *self.keys]

    def _write_configuration(self) -> None:
        content = configuration(self._version, keys=tuple(self.keys))
        self._store.write('op', 'config', content)

    async def _until_serves(self, host: SoakHost) -> None:
        served = 0

        async def serves() -> bool:
            nonlocal served
            is_served = await self.callers.probe(host, self.keys[-1])
            served = served + 1 if is_served else 0
            return served >= SERVED_IN_ROW

        await until(serves, RECOVERED_S)
