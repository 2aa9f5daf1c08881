"""The progress of one admitted request through its attempts."""

import time
from dataclasses import dataclass, field
from typing import Final

from dragonflyknot.decisions import siteconfig
from dragonflyknot.decisions.candidates import HostQuery
from dragonflyknot.exchange.hopheaders import MS_PER_SECOND
from dragonflyknot.exchange.outcomes import OutgoingRequest
from dragonflyknot.exchange.serverrequest import Request

MIN_RETRY_LEFT_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Hold how one attempt ended; times are in monotonic seconds."""

    host: str
    outcome: str
    began: float
    ended: float


@dataclass(slots=True)
class ForwardedRequest:
    """Track the progress of one request through its attempts.

    `deadline` and `aim_at` are in monotonic seconds. `is_retry` marks a
    call that an upstream makes in a run that was itself a retry.
    `tried_hosts` holds the hosts to leave out, `pending_hosts` those with an
    unfinished attempt and `reached_hosts` those whose upstreams received the
    request. If `only_hosts` is not empty, only its
    hosts may be used. `sends` counts the attempts sent to gates, and `runs`
    those that ran or may have run. `attempts` lists those that have ended.
    """

    request: Request
    request_id: str
    route: siteconfig.SiteRoute
    service: str
    workspace: str
    priority: int
    is_call: bool
    is_retry: bool
    deadline: float
    aim_at: float
    outgoing: OutgoingRequest
    tried_hosts: set[str] = field(default_factory=set)
    pending_hosts: set[str] = field(default_factory=set)
    reached_hosts: set[str] = field(default_factory=set)
    only_hosts: frozenset[str] = frozenset()
    sends: int = 0
    runs: int = 0
    last_host: str = ''
    attempts: list[AttemptRecord] = field(default_factory=list)

    @property
    def has_time(self) -> bool:
        """Return whether enough time is left for another attempt."""
        return self.deadline - time.monotonic() > MIN_RETRY_LEFT_S

    def describe_attempts(self) -> tuple[str, ...]:
        """Describe the ended attempts: host, outcome, start and end.

        The times are in milliseconds since the request arrived.
        """
        arrived_at = self.request.arrived_at
        return tuple(
            f'{one.host} {one.outcome}'
            f' {_ms_between(arrived_at, one.began)}'
            f'-{_ms_between(arrived_at, one.ended)}'
            for one in self.attempts
        )

    @property
    def host_query(self) -> HostQuery:
        """Return the requirements for the host of the next attempt."""
        return HostQuery(
            self.service,
            self.route.name,
            self.excluded_hosts,
            self.only_hosts,
            self.route.has_large_bodies,
        )

    @property
    def excluded_hosts(self) -> set[str]:
        """Return the hosts that may not get the next attempt."""
        if not self.pending_hosts:
            return self.tried_hosts
        return self.tried_hosts | self.pending_hosts

    @property
    def can_resend(self) -> bool:
        """Return whether the body is in memory and can be sent again."""
        return isinstance(self.outgoing.body, bytes)


def _ms_between(start: float, end: float) -> int:
    return round((end - start) * MS_PER_SECOND)
