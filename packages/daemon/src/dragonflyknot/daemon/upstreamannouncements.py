"""Apply what the upstream of this host announces, and keep it over restarts.

A leaving is acknowledged after it is kept where the next process of this host
learns of it. What an earlier process has acknowledged goes before all
announcements that this one receives.
"""

import asyncio
import time
from dataclasses import dataclass, replace
from typing import Final

import structlog

from dragonflyknot.daemon.sitemembers import SiteMembers
from dragonflyknot.daemon.sitepolicy import SitePolicy
from dragonflyknot.daemon.sitesettings import SiteSettings
from dragonflyknot.daemon.tasks import Tasks
from dragonflyknot.daemon.timeofday import unix_ms
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage
from dragonflyknot.decisions.upstreamstate import UpstreamRegister
from dragonflyknot.upstreams.sitegate import SiteGate

# A later acknowledgement comes too late for the upstream, which asks again.
MAX_ACK_S: Final = 0.8
_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class AnnouncementParts:
    """Hold what the announcements of an upstream concern."""

    register: UpstreamRegister
    gate: SiteGate
    members: SiteMembers
    policy: SitePolicy
    tasks: Tasks


class UpstreamAnnouncements:
    """Apply announcements to the register, the gate and the members."""

    def __init__(
        self, settings: SiteSettings, parts: AnnouncementParts
    ) -> None:
        """Apply nothing before `restore`, unless nothing ran before."""
        self._service = settings.service
        self._register = parts.register
        self._gate = parts.gate
        self._members = parts.members
        self._policy = parts.policy
        self._tasks = parts.tasks
        self._knows_earlier = asyncio.Event()
        if settings.is_first_start:
            self._knows_earlier.set()

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return whether it may be acknowledged."""
        heartbeat = replace(heartbeat, received_at=time.monotonic())
        try:
            async with asyncio.timeout(MAX_ACK_S):
                await self._knows_earlier.wait()
                self._apply_heartbeat(heartbeat)
                await self._leaving_kept(heartbeat)
        except TimeoutError:
            _log.info('heartbeat_not_stored', instance=heartbeat.instance)
            return False
        return True

    async def handle_deregistration(self, leaving: LeaveMessage) -> bool:
        """Apply a leave message; return whether it may be acknowledged."""
        leaving = replace(leaving, received_ms=unix_ms())
        try:
            async with asyncio.timeout(MAX_ACK_S):
                await self._knows_earlier.wait()
                self._apply_leave(leaving)
                await self._upstream_kept()
        except TimeoutError:
            _log.warning('leaving_not_stored', instance=leaving.instance)
            return False
        return True

    def learn_departures(self) -> None:
        """Apply departures that peers or the store know of."""
        departures = self._members.departures
        if departures == self._register.departures:
            return
        if self._register.learn(departures):
            _log.info('departure_learnt', departures=len(departures))
            self._announce()

    async def restore(self) -> None:
        """Learn what an earlier process knew; use its upstream again."""
        known = await self._members.restored()
        self._register.learn(self._members.departures)
        if known is not None:
            self._register.record_earlier(known)
            self._gate.apply_announcement()
        self._knows_earlier.set()
        await self._policy.first()
        path = self._health_path()
        if known is None or self._register.current is not None or path is None:
            return
        instance = await self._gate.check_health(path)
        if instance == known.instance and self._register.restore(known):
            _log.info('upstream_restored', instance=instance)
            self._gate.apply_announcement()

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        if self._register.apply_heartbeat(heartbeat):
            _log.info(
                'upstream_announced',
                instance=heartbeat.instance,
                state=heartbeat.state.value,
                slots=heartbeat.slots,
            )
            self._announce()
        elif self._register.start_in_question is heartbeat:
            self._log_question(heartbeat)
            self._tasks.start(self._check_start(heartbeat))

    def _log_question(self, heartbeat: Heartbeat) -> None:
        _log.info(
            'start_in_question',
            instance=heartbeat.instance,
            born=heartbeat.born,
            sequence=heartbeat.sequence,
            signs=self._register.signs_of_new_start(),
        )

    async def _check_start(self, heartbeat: Heartbeat) -> None:
        """Ask an upstream that may have left whether it is in service."""
        path = self._health_path()
        if path is None:
            return
        instance = await self._gate.check_health(path)
        if self._register.apply_health_check(heartbeat, instance):
            _log.info('start_confirmed', instance=heartbeat.instance)
            self._announce()

    def _apply_leave(self, leaving: LeaveMessage) -> None:
        if self._register.apply_leave(leaving):
            _log.info('upstream_left', instance=leaving.instance)
            self._announce()
        else:
            _log.info('leaving_known', instance=leaving.instance)

    def _announce(self) -> None:
        self._gate.apply_announcement()
        register = self._register
        self._members.announce(register.current, register.departures)

    async def _leaving_kept(self, heartbeat: Heartbeat) -> None:
        """Wait until it is kept that an upstream leaves, if one does.

        The next process of this host learns it from the store or from peers.
        """
        upstream = self._register.current
        is_leaving = upstream is not None and not upstream.is_ready
        if is_leaving or heartbeat.state is not UpstreamState.READY:
            await self._upstream_kept()

    async def _upstream_kept(self) -> None:
        """Wait until the state of the upstream and departures are kept."""
        register = self._register
        self._members.announce(register.current, register.departures)
        await self._members.kept()

    def _health_path(self) -> str | None:
        configuration = self._policy.configuration
        if configuration is None:
            return None
        service = configuration.services_by_name.get(self._service)
        return None if service is None else service.health_path
