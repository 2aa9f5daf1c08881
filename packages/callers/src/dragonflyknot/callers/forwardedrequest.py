"""The progress of one admitted request through its attempts."""

import time
from dataclasses import dataclass, field
from typing import Final

from dragonflyknot.decisions import siteconfig
from dragonflyknot.decisions.balancer import HostQuery
from dragonflyknot.exchange.outcomes import OutgoingRequest
from dragonflyknot.exchange.serverlink import Request

MIN_RETRY_LEFT_S: Final = 0.02


@dataclass(slots=True)
class ForwardedRequest:
    """Track the progress of one request through its attempts.

    `deadline` and `aim_at` are in monotonic seconds. `is_retry` marks a
    call that an upstream makes in a run that was itself a retry.
    `tried_hosts` holds the hosts to leave out and `reached_hosts` those whose
    upstreams received the request. If `only_hosts` is not empty, only its
    hosts may be used. `sends` counts the attempts sent to gates, and `runs`
    those that ran or may have run.
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
    reached_hosts: set[str] = field(default_factory=set)
    only_hosts: frozenset[str] = frozenset()
    sends: int = 0
    runs: int = 0
    last_host: str = ''

    @property
    def has_time(self) -> bool:
        """Return whether enough time is left for another attempt."""
        return self.deadline - time.monotonic() > MIN_RETRY_LEFT_S

    @property
    def host_query(self) -> HostQuery:
        """Return the requirements for the host of the next attempt."""
        return HostQuery(
            self.service, self.route.name, self.tried_hosts, self.only_hosts
        )

    @property
    def can_resend(self) -> bool:
        """Return whether the body is in memory and can be sent again."""
        return isinstance(self.outgoing.body, bytes)
