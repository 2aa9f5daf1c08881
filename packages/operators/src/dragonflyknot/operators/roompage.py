"""Write a snapshot as one page for a large screen.

The figures are drawn once for all viewers. The page fetches the next
drawing each second and says so when it no longer can.
"""

from collections.abc import Iterator
from html import escape
from importlib.resources import files
from string import Template
from typing import Final

from dragonflyknot.operators.busiest import (
    busiest_services,
    busiest_workspaces,
)
from dragonflyknot.operators.roomtext import (
    KINDS_SHOWN,
    megabits,
    reasons,
    revision_summary,
    states,
    troubles,
)
from dragonflyknot.operators.snapshot import (
    ServiceLine,
    Snapshot,
    WorkspaceLine,
)

PERCENT: Final = 100


def frame() -> str:
    """Return the page around the figures."""
    return _resource('room.html')


def figures(snapshot: Snapshot) -> str:
    """Return the part of the page that changes with each snapshot."""
    return Template(_resource('figures.html')).substitute(
        number=snapshot.number,
        revision=escape(revision_summary(snapshot)),
        mood='calm' if not troubles(snapshot) else 'troubled',
        troubles=''.join(map(_trouble, troubles(snapshot))),
        workspaces=''.join(_workspace_rows(snapshot)),
        services=''.join(map(_service_row, busiest_services(snapshot))),
        links=''.join(_links(snapshot)),
        keys=_age(snapshot.keys_age_s),
        store=f'{snapshot.reads:.0f} / {snapshot.writes:.0f}',
    )


def _resource(name: str) -> str:
    resource = files('dragonflyknot.operators') / 'pages' / name
    return resource.read_text(encoding='utf-8')


def _trouble(text: str) -> str:
    return f'<li>{escape(text)}</li>'


def _workspace_rows(snapshot: Snapshot) -> Iterator[str]:
    busiest = max(
        (line.admitted + line.refused for line in snapshot.workspaces),
        default=0,
    )
    for line in busiest_workspaces(snapshot):
        yield _workspace_row(line, busiest)


def _workspace_row(line: WorkspaceLine, busiest: float) -> str:
    kinds = ''.join(
        f'<span class="kind">{escape(kind)} <b>{_rate(rate)}</b></span>'
        for kind, rate in reasons(line)[:KINDS_SHOWN]
    )
    refused = 'refused' if line.refused else 'none'
    return (
        f'<tr><th>{escape(line.name or "(open routes)")}</th>'
        f'<td class="bar">{_bar("admitted", line.admitted, busiest)}'
        f'{_bar("refused", line.refused, busiest)}</td>'
        f'<td class="admitted">{_rate(line.admitted)}</td>'
        f'<td class="{refused}">{_rate(line.refused)}</td>'
        f'<td class="kinds">{kinds}</td></tr>'
    )


def _service_row(line: ServiceLine) -> str:
    full = 'full' if line.running >= line.limit else 'room'
    return (
        f'<tr><th>{escape(line.name)}</th>'
        f'<td class="bar {full}">{_bar("running", line.running, line.limit)}'
        f'</td><td>{line.running}<small>/{line.limit}</small></td>'
        f'<td>{line.queued}</td><td>{_threshold(line.threshold)}</td>'
        f'<td class="states">{escape(states(line.count_by_state))}</td></tr>'
    )


def _bar(kind: str, size: float, whole: float) -> str:
    if size == 0:
        return ''
    share = min(size / whole, 1) if whole else 1
    return f'<i class="{kind}" style="width:{share * PERCENT:.1f}%"></i>'


def _links(snapshot: Snapshot) -> Iterator[str]:
    for ends, volume in sorted(snapshot.link_bytes_by_pair.items()):
        yield (
            f'<div><small>{escape(ends[0])} &ndash; {escape(ends[1])}, both'
            ' ways</small>'
            f'<b>{megabits(volume):.1f}</b> Mbit/s</div>'
        )


def _rate(rate: float) -> str:
    if rate == 0:
        return '0'
    return f'{rate:.1f}' if rate < 10 else f'{rate:,.0f}'


def _threshold(priority: int) -> str:
    return 'all' if priority == 0 else f'from {priority}'


def _age(age_s: float | None) -> str:
    return '?' if age_s is None else f'{age_s:.1f}'
