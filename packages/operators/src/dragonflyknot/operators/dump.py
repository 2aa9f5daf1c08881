"""Schema of a daemon's state dump, `GET /dump` on its operators' listener.

Counters start at zero with the daemon's incarnation and only rise. Readers
ignore fields that they do not know, so that a fleet of two versions can be
read. Times are seconds since the epoch; ages and bounds are seconds.
"""

from enum import Enum, unique

from pydantic import BaseModel, ConfigDict, Field


class DumpModel(BaseModel):
    """Ignore unknown fields of a newer daemon."""

    model_config = ConfigDict(extra='ignore', frozen=True)


@unique
class DaemonState(Enum):
    """Name the states of a daemon."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class RevisionDump(DumpModel):
    """Name the revision that a daemon has in force (0: none)."""

    number: int = 0
    digest: str = ''


class MemberDump(DumpModel):
    """Describe another daemon as this one sees it.

    `service` is what its upstream announces, empty without one. `revision`
    is the one it last said to have in force, and `operators` the address
    (IP:port) of its operators' listener, or empty if not known.
    """

    host: str
    incarnation: int
    data_center: str
    region: str
    state: str
    suspected: bool = False
    revision: int | None = None
    operators: str = ''
    service: str = ''


class WorkspaceDump(DumpModel):
    """Count the requests of a workspace at this edge by refusal kind."""

    admitted: int = 0
    refused: dict[str, int] = Field(default_factory=dict)


class ServiceDump(DumpModel):
    """Describe the gate in front of this daemon's upstream.

    `threshold` is the lowest priority admitted now; `state` is what the
    upstream announced.
    """

    state: str
    slots: int = 0
    limit: int = 0
    running: int = 0
    queued: int = 0
    threshold: int = 0


class KeysDump(DumpModel):
    """Describe this daemon's copy of the keys."""

    sequence: int = 0
    count: int = 0
    age_s: float | None = None
    bound_s: float = 0


class LeaseDump(DumpModel):
    """Describe a lease that this daemon holds on a shard of the rates."""

    shard: int
    lapses_in_s: float


class StoreDump(DumpModel):
    """Count this daemon's use of the platform's services."""

    reads: int = 0
    writes: int = 0
    table_up: bool = True
    objects_up: bool = True


class Dump(DumpModel):
    """Hold the state of one daemon.

    `link_bytes` counts the bytes of requests and answers that this edge
    exchanged with each other region.
    """

    host: str
    incarnation: int
    data_center: str
    region: str
    environment: str = ''
    revision: RevisionDump = RevisionDump()
    ready: bool
    state: DaemonState
    members: tuple[MemberDump, ...] = ()
    workspaces: dict[str, WorkspaceDump] = Field(default_factory=dict)
    services: dict[str, ServiceDump] = Field(default_factory=dict)
    link_bytes: dict[str, int] = Field(default_factory=dict)
    keys: KeysDump = KeysDump()
    leases: tuple[LeaseDump, ...] = ()
    store: StoreDump = StoreDump()
    taken_at: float
