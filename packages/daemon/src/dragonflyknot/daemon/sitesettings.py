"""Settings and outside parts of a daemon whose platform keeps its state."""

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Result

from dragonflyknot.decisions.siteconfig import SiteConfiguration
from dragonflyknot.decisions.siteretries import SiteRetryBound
from dragonflyknot.exchange.clientmemory import DEFAULT_LIMIT_BYTES
from dragonflyknot.exchange.dialect import Dialect
from dragonflyknot.exchange.linkset import DEFAULT_MAX_SOCKETS, LinkShares
from dragonflyknot.stores.rowstore import RowName, RowStore


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Hold the checked settings of a daemon; times are in seconds.

    Callers leave a host within `callers_leave_s` after it stops being ready.
    A process must end within `grace_s` after it was told to stop.
    What is held for clients may take `client_memory_bytes` in all. Connections
    of all kinds, in and out, may take `max_sockets`.
    `is_first_start` tells that the whole site starts for the first time.
    """

    host: str
    data_center: str
    region: str
    service: str
    upstream_address: str
    callers_listen: str
    peers_listen: str
    upstream_listen: str
    readiness_listen: str
    operators_listen: str
    callers_leave_s: float = 2.1
    grace_s: float = 6.0
    retry_bound: SiteRetryBound = field(default_factory=SiteRetryBound)
    client_memory_bytes: int = DEFAULT_LIMIT_BYTES
    max_sockets: int = DEFAULT_MAX_SOCKETS
    is_first_start: bool = False

    @property
    def links(self) -> LinkShares:
        """Return how many connections each listener may have open."""
        return LinkShares(self.max_sockets, self.client_memory_bytes)


@dataclass(frozen=True, slots=True)
class SitePlatform:
    """Bundle what the adapter of a platform brings.

    `hosts_table` is the table of the daemons' own entries. The decoder
    returns a message where the configuration cannot be read.
    """

    store: RowStore
    dialect: Dialect
    configuration_row: RowName
    hosts_table: str
    decode_configuration: Callable[[bytes], Result[SiteConfiguration, str]]
