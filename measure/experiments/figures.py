"""The common result of every experiment and the bounds it has to keep.

A `Figures` holds what one experiment measured and, in `baseline`, what the
same load gave with the policies off. `missed` compares it with the stated
bounds; a bound belongs to a field and to the experiments named with it.
"""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from operator import ge, le


@dataclass(frozen=True, slots=True)
class Figures:
    """Hold the figures of one experiment; None stands for not measured.

    `important_ratio` is the goodput of the highest priority over what it
    offered; `retries_per_chain_bound` is the bound that was configured.
    """

    experiment: str
    goodput_ratio: float | None = None
    important_ratio: float | None = None
    recovery_seconds: float | None = None
    worst_workspace_ratio: float | None = None
    refused_within_rate_ratio: float | None = None
    priority_inversions: float | None = None
    rate_overrun: float | None = None
    retries_per_chain_max: float | None = None
    retries_per_chain_bound: float | None = None
    ran_twice: float | None = None
    false_not_run: float | None = None
    torn: float | None = None
    wrong_workspace: float | None = None
    link_bytes: float | None = None
    store_writes: float | None = None
    added_ms_p50: float | None = None
    added_ms_p99: float | None = None
    resident_mb: float | None = None
    idle_core_ratio: float | None = None
    withdrawn_key_seconds: float | None = None
    in_force_seconds: float | None = None
    last_new_work_seconds: float | None = None
    cut_off: float | None = None
    baseline: 'Figures | None' = None

    def measured(self) -> dict[str, float]:
        """Return the fields that were measured, by name."""
        return {
            name: number
            for name, number in asdict(self).items()
            if isinstance(number, float | int)
        }


@dataclass(frozen=True, slots=True)
class Bound:
    """State a bound on a field, for experiments whose name has a prefix."""

    field: str
    keeps: Callable[[float, float], bool]
    figure: float
    experiment: str = ''


BOUNDS = (
    Bound('rate_overrun', le, 0),
    Bound('ran_twice', le, 0),
    Bound('false_not_run', le, 0),
    Bound('torn', le, 0),
    Bound('wrong_workspace', le, 0),
    Bound('priority_inversions', le, 0),
    Bound('recovery_seconds', le, 1),
    Bound('important_ratio', ge, 0.99),
    Bound('goodput_ratio', ge, 0.95, 'surge-'),
    Bound('worst_workspace_ratio', ge, 0.95, 'flood'),
    Bound('refused_within_rate_ratio', le, 0.001, 'rates-steady'),
    Bound('refused_within_rate_ratio', le, 0.01, 'rates-daemon-killed'),
    Bound('added_ms_p99', le, 1.5),
    Bound('resident_mb', le, 256),
    Bound('idle_core_ratio', le, 0.013),
    Bound('withdrawn_key_seconds', le, 3),
    Bound('in_force_seconds', le, 5),
    Bound('last_new_work_seconds', le, 2),
    Bound('cut_off', le, 0),
)


def missed(figures: Figures) -> tuple[str, ...]:
    """Return one line for each bound that the figures do not keep."""
    by_name = figures.measured()
    lines = [
        f'{bound.field} {by_name[bound.field]:g}, bound {bound.figure:g}'
        for bound in _bounds_of(figures)
        if bound.field in by_name
        and not bound.keeps(by_name[bound.field], bound.figure)
    ]
    return tuple(lines)


def _bounds_of(figures: Figures) -> tuple[Bound, ...]:
    bounds = [
        bound
        for bound in BOUNDS
        if figures.experiment.startswith(bound.experiment)
    ]
    most = figures.retries_per_chain_bound
    if most is not None:
        bounds.append(Bound('retries_per_chain_max', le, most))
    return tuple(bounds)
