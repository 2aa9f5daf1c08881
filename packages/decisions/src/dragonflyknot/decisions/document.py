"""Data classes of the active configuration.

The operators package validates a TOML document and converts it into a
`Configuration`. All state machines read their settings from it, so that a
new revision is applied to them as one immutable value.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

OPEN_WORKSPACE = ''
"""The workspace name that stands for requests on open routes."""

LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Workspace:
    """Describe a workspace's rate (requests/s), burst (requests) and weight."""

    name: str
    rate: float
    burst: float
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Service:
    """Describe the queue in front of each upstream of a service."""

    name: str
    queue_limit: int = 64
    queue_wait_ms: int = 250


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests of one service that share a policy.

    A greater `priority` is more important. Requests of `once` routes run at
    most once per idempotency key, those of `idempotent` routes may be retried
    after a failure, and those of `open` routes need no API key.
    """

    service: str
    method: str
    prefix: str
    priority: int
    timeout_ms: int
    retries: int = 0
    once: bool = False
    open: bool = False
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Revision:
    """Identify an accepted document by number, digest and writer."""

    number: int
    digest: str
    nonce: str


NO_REVISION = Revision(number=0, digest='', nonce='')


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one revision of the document."""

    revision: Revision = NO_REVISION
    workspaces_by_name: Mapping[str, Workspace] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    open_rate: float = 0
    open_burst: float = 0
    key_freshness_seconds: float = 2

    def limits(self, workspace: str) -> Workspace | None:
        """Return the rate and burst of a workspace, or of the open routes."""
        if workspace == OPEN_WORKSPACE:
            return Workspace(
                OPEN_WORKSPACE, self.open_rate, self.open_burst, weight=1
            )
        return self.workspaces_by_name.get(workspace)
