"""Merge the dumps of a fleet into one picture.

Counters become rates by comparing a daemon's dump with its previous one. A
daemon that was restarted counts from zero again.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dragonflyknot.operators.dump import Dump, ServiceDump, WorkspaceDump


@dataclass(frozen=True, slots=True)
class Gathered:
    """Hold the dumps by host and the addresses that did not answer."""

    taken_at: float
    dump_by_host: Mapping[str, Dump]
    silent: tuple[str, ...] = ()

    def revision_by_unseen_host(self) -> dict[str, int]:
        """Return the revisions told of live daemons that gave no dump.

        The revision is 0 if none is told.
        """
        revision_by_host: dict[str, int] = {}
        for dump in self.dump_by_host.values():
            for member in dump.members:
                if member.suspected or member.host in self.dump_by_host:
                    continue
                known = revision_by_host.get(member.host, 0)
                told = member.revision or 0
                revision_by_host[member.host] = max(known, told)
        return revision_by_host


@dataclass(frozen=True, slots=True)
class WorkspaceLine:
    """Give the requests a second of a workspace over the fleet."""

    name: str
    admitted: float
    refused_by_kind: Mapping[str, float]

    @property
    def refused(self) -> float:
        """Return the refused requests a second, whatever the kind."""
        return sum(self.refused_by_kind.values())


@dataclass(frozen=True, slots=True)
class ServiceLine:
    """Give the load of a service over its gates, in requests."""

    name: str
    limit: int
    running: int
    queued: int
    threshold: int
    count_by_state: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the picture that every viewer sees under one number.

    `link_bytes_by_pair` is in bytes a second between two regions, both ways,
    and `keys_age_s` the greatest age of a copy of the keys.
    """

    number: int
    taken_at: float
    environment: str
    revision: int
    behind: Mapping[str, int]
    hosts: tuple[str, ...]
    unready: tuple[str, ...]
    suspected: tuple[str, ...]
    silent: tuple[str, ...]
    unseen: tuple[str, ...]
    workspaces: tuple[WorkspaceLine, ...]
    services: tuple[ServiceLine, ...]
    link_bytes_by_pair: Mapping[tuple[str, str], float]
    keys_age_s: float | None
    keys_bound_s: float
    reads: float
    writes: float
    store_down_at: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Pair:
    """Hold a daemon's dump and the one before, if it is comparable."""

    dump: Dump
    before: Dump | None
    seconds: float

    def rate(self, now: int, before: int) -> float:
        """Return the rise of a counter a second; 0 without an interval."""
        return max(now - before, 0) / self.seconds if self.seconds else 0


def merge(number: int, gathered: Gathered, before: Gathered | None) -> Snapshot:
    """Return the picture of a fleet from two rounds of dumps."""
    dumps = gathered.dump_by_host
    pairs = [_paired(dump, before) for dump in dumps.values()]
    revision = max((dump.revision.number for dump in dumps.values()), default=0)
    return Snapshot(
        number=number,
        taken_at=gathered.taken_at,
        environment=_environment(dumps.values()),
        revision=revision,
        behind={
            host: dump.revision.number
            for host, dump in sorted(dumps.items())
            if dump.revision.number < revision
        },
        hosts=tuple(sorted(dumps)),
        unready=_hosts(dump for dump in dumps.values() if not dump.ready),
        suspected=_suspected(dumps.values()),
        silent=gathered.silent,
        unseen=tuple(sorted(gathered.revision_by_unseen_host())),
        workspaces=_workspace_lines(pairs),
        services=_service_lines(dumps.values()),
        link_bytes_by_pair=_link_bytes(pairs),
        keys_age_s=_keys_age(dumps.values()),
        keys_bound_s=min(
            (dump.keys.bound_s for dump in dumps.values()), default=0
        ),
        reads=sum(_reads(pair) for pair in pairs),
        writes=sum(_writes(pair) for pair in pairs),
        store_down_at=_hosts(
            dump
            for dump in dumps.values()
            if not (dump.store.table_up and dump.store.objects_up)
        ),
    )


@dataclass(slots=True)
class _WorkspaceSum:
    """Add up the rates of a workspace."""

    admitted: float = 0
    refused_by_kind: dict[str, float] = field(default_factory=dict)

    def add(
        self, pair: Pair, now: WorkspaceDump, before: WorkspaceDump
    ) -> None:
        self.admitted += pair.rate(now.admitted, before.admitted)
        for kind, count in now.refused.items():
            rate = pair.rate(count, before.refused.get(kind, 0))
            if rate > 0:
                total = self.refused_by_kind.get(kind, 0) + rate
                self.refused_by_kind[kind] = total


def _paired(dump: Dump, before: Gathered | None) -> Pair:
    old = before.dump_by_host.get(dump.host) if before else None
    if old is None or old.incarnation != dump.incarnation:
        return Pair(dump, None, 0)
    return Pair(dump, old, max(dump.taken_at - old.taken_at, 0))


def _hosts(dumps: Iterable[Dump]) -> tuple[str, ...]:
    return tuple(sorted(dump.host for dump in dumps))


def _environment(dumps: Iterable[Dump]) -> str:
    names = {dump.environment for dump in dumps if dump.environment}
    return ', '.join(sorted(names))


def _suspected(dumps: Iterable[Dump]) -> tuple[str, ...]:
    hosts = {
        member.host
        for dump in dumps
        for member in dump.members
        if member.suspected
    }
    return tuple(sorted(hosts))


def _workspace_lines(pairs: Iterable[Pair]) -> tuple[WorkspaceLine, ...]:
    sums: dict[str, _WorkspaceSum] = {}
    nothing = WorkspaceDump()
    for pair in pairs:
        old = pair.before.workspaces if pair.before else {}
        for name, workspace in pair.dump.workspaces.items():
            total = sums.setdefault(name, _WorkspaceSum())
            total.add(pair, workspace, old.get(name, nothing))
    return tuple(
        WorkspaceLine(found, added.admitted, added.refused_by_kind)
        for found, added in sorted(sums.items())
    )


def _service_lines(dumps: Iterable[Dump]) -> tuple[ServiceLine, ...]:
    gates_by_name: dict[str, list[ServiceDump]] = {}
    for dump in dumps:
        for name, service in dump.services.items():
            gates_by_name.setdefault(name, []).append(service)
    return tuple(
        _service_line(found, gates)
        for found, gates in sorted(gates_by_name.items())
    )


def _service_line(name: str, gates: list[ServiceDump]) -> ServiceLine:
    return ServiceLine(
        name=name,
        limit=sum(gate.limit for gate in gates),
        running=sum(gate.running for gate in gates),
        queued=sum(gate.queued for gate in gates),
        threshold=max(gate.threshold for gate in gates),
        count_by_state=Counter(gate.state for gate in gates),
    )


def _link_bytes(pairs: Iterable[Pair]) -> dict[tuple[str, str], float]:
    rate_by_pair: dict[tuple[str, str], float] = {}
    for pair in pairs:
        old = pair.before.link_bytes if pair.before else {}
        for region, count in pair.dump.link_bytes.items():
            ends = _link(pair.dump.region, region)
            rate = pair.rate(count, old.get(region, 0))
            rate_by_pair[ends] = rate_by_pair.get(ends, 0) + rate
    return rate_by_pair


def _link(one: str, other: str) -> tuple[str, str]:
    """Return both regions in order, whichever of them asked."""
    return (one, other) if one <= other else (other, one)


def _keys_age(dumps: Iterable[Dump]) -> float | None:
    ages = [dump.keys.age_s for dump in dumps]
    known = [age for age in ages if age is not None]
    return max(known) if known else None


def _reads(pair: Pair) -> float:
    before = pair.before.store.reads if pair.before else 0
    return pair.rate(pair.dump.store.reads, before)


def _writes(pair: Pair) -> float:
    before = pair.before.store.writes if pair.before else 0
    return pair.rate(pair.dump.store.writes, before)
