"""Write a snapshot as text for a terminal."""

from collections.abc import Iterator, Mapping
from typing import Final

from dragonflyknot.operators.snapshot import (
    ServiceLine,
    Snapshot,
    WorkspaceLine,
)

BITS_PER_BYTE: Final = 8
BITS_PER_MEGABIT: Final = 1_000_000
KINDS_SHOWN: Final = 3


def as_text(snapshot: Snapshot, now: float) -> str:
    """Return the lines of a snapshot; `now` is seconds since the epoch."""
    return '\n'.join(_lines(snapshot, now))


def revision_summary(snapshot: Snapshot) -> str:
    """Return the revision in force and how many daemons lag."""
    name = f'{snapshot.environment} revision {snapshot.revision}'.strip()
    daemons = len(snapshot.hosts)
    behind = len(snapshot.behind)
    if behind:
        return f'{name}, {behind} of {daemons} daemons behind'
    return f'{name} on all {daemons} daemons'


def reasons(line: WorkspaceLine) -> tuple[tuple[str, float], ...]:
    """Return the refusal kinds of a workspace, most frequent first."""
    ordered = sorted(line.refused_by_kind.items(), key=_most_first)
    return tuple(ordered)


def megabits(bytes_per_second: float) -> float:
    """Return a volume in Mbit/s."""
    return bytes_per_second * BITS_PER_BYTE / BITS_PER_MEGABIT


def troubles(snapshot: Snapshot) -> tuple[str, ...]:
    """Return what needs the operators' eyes, each with its hosts."""
    hosts_by_trouble: dict[str, tuple[str, ...]] = {
        'silent': snapshot.silent,
        'no dump of': snapshot.unseen,
        'suspected': snapshot.suspected,
        'not ready': snapshot.unready,
        'behind': tuple(
            f'{host} (at {number})' for host, number in snapshot.behind.items()
        ),
        'store out at': snapshot.store_down_at,
    }
    found = [
        f'{trouble}: {", ".join(hosts)}'
        for trouble, hosts in hosts_by_trouble.items()
        if hosts
    ]
    if keys_are_stale(snapshot):
        found.append('keys are older than their bound; requests are refused')
    return tuple(found)


def keys_are_stale(snapshot: Snapshot) -> bool:
    """Say whether some daemon can no longer vouch for keys."""
    age = snapshot.keys_age_s
    return age is not None and age > snapshot.keys_bound_s


def states(count_by_state: Mapping[str, int]) -> str:
    """Return the states of a service's upstreams with their counts."""
    listed = sorted(count_by_state.items())
    return ', '.join(f'{count} {state}' for state, count in listed)


def _lines(snapshot: Snapshot, now: float) -> Iterator[str]:
    age = max(now - snapshot.taken_at, 0)
    yield (
        f'snapshot {snapshot.number}, {age:.0f} s old;'
        f' {revision_summary(snapshot)}'
    )
    for trouble in troubles(snapshot):
        yield f'! {trouble}'
    yield f'{"workspace":<24}{"admitted/s":>12}{"refused/s":>12}  reasons'
    yield from map(_workspace_text, snapshot.workspaces)
    yield (
        f'{"service":<24}{"running":>12}{"limit":>12}{"queued":>8}  upstreams'
    )
    yield from map(_service_text, snapshot.services)
    for ends, volume in sorted(snapshot.link_bytes_by_pair.items()):
        yield f'link {ends[0]} - {ends[1]}: {megabits(volume):.2f} Mbit/s'
    yield f'keys at most {_seconds(snapshot.keys_age_s)} old'
    yield (
        f'store: {snapshot.reads:.1f} reads/s, {snapshot.writes:.1f} writes/s'
    )


def _workspace_text(line: WorkspaceLine) -> str:
    kinds = ', '.join(f'{kind} {rate:.1f}' for kind, rate in reasons(line))
    return (
        f'{line.name or "(open)":<24}{line.admitted:>12.1f}'
        f'{line.refused:>12.1f}  {kinds}'
    )


def _service_text(line: ServiceLine) -> str:
    return (
        f'{line.name:<24}{line.running:>12}{line.limit:>12}{line.queued:>8}'
        f'  {states(line.count_by_state)}; priority {line.threshold} and up'
    )


def _seconds(age_s: float | None) -> str:
    return 'unknown' if age_s is None else f'{age_s:.1f} s'


def _most_first(item: tuple[str, float]) -> tuple[float, str]:
    return -item[1], item[0]
