"""Messages between the daemons and the meter of the rate limits.

Every daemon counts its offered and admitted requests and reports them to one
of the hosts, the meter, which replies with the rate that the hosts reporting
to it may admit. See `hostlimiter` for the daemon, `demandmeter` for the meter
and `meterchoice` for the choice of the host.

The rate of a workspace is divided so that its parts never add up to more,
whichever hosts are reachable: a host that is out of touch with a meter has
its equal share, and a meter grants the shares of the hosts that report to it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

ALLOWANCE_LIFETIME_S: Final = 1.0
"""How long a host uses an allowance, from the time that it asked for it."""
REPORT_OVERDUE_S: Final = 1.1
"""When a meter counts a host as out of touch; longer than the lifetime."""
IDLE_REPORT_INTERVAL_S: Final = 0.5
MIN_BUSY_REPORT_INTERVAL_S: Final = 0.15
BUSY_REPORT_INTERVAL_PER_HOST_S: Final = 0.004
"""Up to 125 hosts send at most 250 reports/s in total."""


def report_interval_s(hosts: int, *, is_busy: bool) -> float:
    """Return the time between two reports of a daemon, in seconds."""
    if not is_busy:
        return IDLE_REPORT_INTERVAL_S
    return min(
        IDLE_REPORT_INTERVAL_S,
        max(
            MIN_BUSY_REPORT_INTERVAL_S, hosts * BUSY_REPORT_INTERVAL_PER_HOST_S
        ),
    )


@dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """Report the demand for a workspace in requests/s.

    `admitted` counts the requests admitted since the last report.
    """

    per_s: float
    admitted: float


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold the reported demand and its admissible rate, in requests/s."""

    fleet_per_s: float
    allowed_per_s: float


@dataclass(frozen=True, slots=True)
class MeterReply:
    """Reply to a report with the allowances by workspace.

    A meter that has just taken over grants nothing before it has heard from
    the hosts; `is_granting` is then false.
    """

    is_granting: bool = False
    allowances: Mapping[str, Allowance] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Hold a rate in requests/s and a burst in requests."""

    rate: float
    burst: float
