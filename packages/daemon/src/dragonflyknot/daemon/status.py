"""Answer operators: readiness, the state dump and withdrawals.

`GET /ready` is 200 once the daemon can serve callers, and 503 with the
reason before that and while it drains. `GET /dump` returns the state in the
layout of `dragonflyknot.operators.dump`. `POST /withdrawals` announces the
withdrawal of a key (see `dragonflyknot.operators.withdrawals`).
"""

import time
from collections import defaultdict
from typing import TYPE_CHECKING

from aiohttp import web
from pydantic import ValidationError

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import OPEN_WORKSPACE
from dragonflyknot.operators.dump import (
    DaemonState,
    Dump,
    KeysDump,
    LeaseDump,
    MemberDump,
    RevisionDump,
    ServiceDump,
    StoreDump,
    WorkspaceDump,
)
from dragonflyknot.operators.withdrawals import (
    WITHDRAWALS_PATH,
    NoticeAnswer,
    WithdrawalNotice,
)

if TYPE_CHECKING:
    from dragonflyknot.daemon.runtime import Daemon

OPEN_NAME = '(open)'


class Status:
    """Serve the operators' listener."""

    def __init__(self, daemon: 'Daemon') -> None:
        """Read the state of a daemon when asked."""
        self._daemon = daemon

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request of an operator."""
        if request.path == WITHDRAWALS_PATH:
            return await self._withdraw(request)
        if request.method not in {'GET', 'HEAD'}:
            return web.Response(status=405, text='Use GET.\n')
        match request.path:
            case '/ready':
                return self._ready()
            case '/dump':
                return web.Response(
                    text=take_dump(self._daemon).model_dump_json(),
                    content_type='application/json',
                )
            case _:
                return web.Response(status=404, text='Use /ready or /dump.\n')

    async def _withdraw(self, request: web.BaseRequest) -> web.Response:
        if request.method != 'POST':
            return web.Response(status=405, text='Use POST.\n')
        try:
            notice = WithdrawalNotice.model_validate_json(await request.read())
        except ValidationError:
            return web.Response(
                status=400, text='Send {"key_hash": SHA-256 in hexadecimal}.\n'
            )
        fleet = self._daemon.fleet
        announced = await fleet.announce_withdrawal(notice.key_hash)
        answer = NoticeAnswer(told=announced.told, needed=announced.needed)
        return web.Response(
            text=answer.model_dump_json(), content_type='application/json'
        )

    def _ready(self) -> web.Response:
        missing = self._daemon.missing()
        if not missing:
            return web.Response(text='ready\n')
        reasons = '; '.join(missing)
        return web.Response(status=503, text=f'not ready: {reasons}\n')


def take_dump(daemon: 'Daemon') -> Dump:
    """Return the state of a daemon."""
    settings = daemon.settings
    now = time.monotonic()
    return Dump(
        host=settings.host,
        incarnation=daemon.incarnation,
        data_center=settings.data_center,
        region=settings.region,
        environment=settings.environment,
        revision=_revision(daemon),
        ready=not daemon.missing(),
        state=_state(daemon),
        members=_members(daemon),
        workspaces=_workspaces(daemon),
        services=_services(daemon, now),
        link_bytes=dict(daemon.router.link_bytes_by_region),
        keys=_keys(daemon, now),
        leases=_leases(daemon, now),
        store=_store(daemon),
        taken_at=time.time(),
    )


def _revision(daemon: 'Daemon') -> RevisionDump:
    policy = daemon.policies.current()
    if policy is None:
        return RevisionDump()
    revision = policy.configuration.revision
    return RevisionDump(number=revision.number, digest=revision.digest)


def _state(daemon: 'Daemon') -> DaemonState:
    if daemon.edge.is_draining:
        return DaemonState.DRAINING
    return DaemonState.STARTING if daemon.missing() else DaemonState.READY


def _members(daemon: 'Daemon') -> tuple[MemberDump, ...]:
    return tuple(
        MemberDump(
            host=member.host,
            incarnation=member.incarnation,
            data_center=member.data_center,
            region=member.region,
            state=member.state.value,
            suspected=bool(member.standing),
            operators=member.operators,
            service=member.service,
            revision=member.revision,
        )
        for member in daemon.members()
    )


def _workspaces(daemon: 'Daemon') -> dict[str, WorkspaceDump]:
    refused_by_workspace: dict[str, dict[str, int]] = defaultdict(dict)
    for key, count in daemon.tally.refused_by_workspace.items():
        refused_by_workspace[key.workspace][key.refusal.value] = count
    admitted = daemon.tally.admitted_by_workspace
    names = admitted.keys() | refused_by_workspace.keys()
    return {
        OPEN_NAME if name == OPEN_WORKSPACE else name: WorkspaceDump(
            admitted=admitted[name], refused=refused_by_workspace[name]
        )
        for name in sorted(names)
    }


def _services(daemon: 'Daemon', now: float) -> dict[str, ServiceDump]:
    announcement = daemon.announcements.current(now)
    if announcement is None:
        return {}
    report = daemon.gate.report()
    gauges = ServiceDump(
        state=UpstreamState(report.state).value,
        slots=announcement.slots,
        limit=report.limit,
        running=report.running,
        queued=report.queued,
        threshold=report.threshold,
    )
    return {announcement.service: gauges}


def _leases(daemon: 'Daemon', now: float) -> tuple[LeaseDump, ...]:
    lapses_in_s = max(daemon.rates.usable_until - now, 0)
    return tuple(
        LeaseDump(shard=shard, lapses_in_s=lapses_in_s)
        for shard in sorted(daemon.rates.held)
    )


def _keys(daemon: 'Daemon', now: float) -> KeysDump:
    keyring = daemon.keyring
    return KeysDump(
        sequence=keyring.sequence,
        count=len(keyring),
        age_s=keyring.age_s(now) if keyring.sequence else None,
        bound_s=keyring.bound_s,
    )


def _store(daemon: 'Daemon') -> StoreDump:
    table, objects = daemon.usages
    return StoreDump(
        reads=table.reads + objects.reads,
        writes=table.writes + objects.writes,
        table_up=table.is_up,
        objects_up=objects.is_up,
    )
