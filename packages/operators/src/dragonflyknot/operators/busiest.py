"""Choose the lines that a screen has room for and add up the others."""

from collections import Counter
from collections.abc import Sequence
from typing import Final

from dragonflyknot.operators.snapshot import (
    ServiceLine,
    Snapshot,
    WorkspaceLine,
)

MAX_WORKSPACE_LINES: Final = 9
MAX_SERVICE_LINES: Final = 5


def busiest_workspaces(snapshot: Snapshot) -> tuple[WorkspaceLine, ...]:
    """Return the most refused workspaces by name, the others as one line."""
    lines = snapshot.workspaces
    if len(lines) <= MAX_WORKSPACE_LINES:
        return lines
    ordered = sorted(lines, key=_most_refused_first)
    shown = ordered[: MAX_WORKSPACE_LINES - 1]
    others = _other_workspaces(ordered[len(shown) :])
    return (*sorted(shown, key=_name_of), others)


def busiest_services(snapshot: Snapshot) -> tuple[ServiceLine, ...]:
    """Return the fullest services by name, the others as one line."""
    lines = snapshot.services
    if len(lines) <= MAX_SERVICE_LINES:
        return lines
    ordered = sorted(lines, key=_fullest_first)
    shown = ordered[: MAX_SERVICE_LINES - 1]
    others = _other_services(ordered[len(shown) :])
    return (*sorted(shown, key=_name_of), others)


def _other_workspaces(lines: Sequence[WorkspaceLine]) -> WorkspaceLine:
    refused: dict[str, float] = {}
    for line in lines:
        for kind, rate in line.refused_by_kind.items():
            refused[kind] = refused.get(kind, 0) + rate
    admitted = sum(each.admitted for each in lines)
    return WorkspaceLine(f'{len(lines)} others', admitted, refused)


def _other_services(lines: Sequence[ServiceLine]) -> ServiceLine:
    count_by_state: Counter[str] = Counter()
    for line in lines:
        count_by_state.update(line.count_by_state)
    return ServiceLine(
        name=f'{len(lines)} others',
        limit=sum(each.limit for each in lines),
        running=sum(each.running for each in lines),
        queued=sum(each.queued for each in lines),
        threshold=max(each.threshold for each in lines),
        count_by_state=count_by_state,
    )


def _fullest_first(line: ServiceLine) -> tuple[float, str]:
    load = (line.running + line.queued) / max(line.limit, 1)
    return -load, line.name


def _most_refused_first(line: WorkspaceLine) -> tuple[float, float, str]:
    return -line.refused, -line.admitted, line.name


def _name_of(line: WorkspaceLine | ServiceLine) -> str:
    return line.name
