"""Every option of the daemon, as a flag and an environment variable.

A flag goes before the variable of the same name, which goes before the
default.
"""

from dataclasses import dataclass
from typing import Final

ENVIRONMENT_PREFIX: Final = 'DRAGONFLYKNOT_'


@dataclass(frozen=True, slots=True)
class Option:
    """Describe one option; an empty default makes it required."""

    name: str
    description: str
    default: str | None = None

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace('-', '_')

    @property
    def field(self) -> str:
        """Return the name of the field in the settings."""
        return self.name.replace('-', '_')


OPTIONS: Final = (
    Option('host', 'Unique name of this host'),
    Option('data-center', 'Data centre of this host'),
    Option('region', 'Region of the data centre'),
    Option('environment', 'Environment whose document is in force'),
    Option('callers-listen', 'IP:port for callers', '127.0.0.1:8080'),
    Option('upstream-listen', 'IP:port for the upstream', '127.0.0.1:8081'),
    Option('requests-listen', 'IP:port for forwarded requests'),
    Option('control-listen', 'IP:port for control between daemons'),
    Option('requests-advertise', 'What peers use; empty: as listened', ''),
    Option('control-advertise', 'What peers use; empty: as listened', ''),
    Option('operators-listen', 'IP:port for operators', '127.0.0.1:8084'),
    Option('seeds', 'Control addresses of first peers, by comma', ''),
    Option('calls', 'Services that are followed, by comma; * is all', '*'),
    Option('fleet-secret', 'Secret that all daemons share'),
    Option('store-region', 'Region in which the store stands', ''),
    Option('table-endpoint', 'URL of the table service'),
    Option('objects-endpoint', 'URL of the object store'),
    Option('platform-region', 'Region name of the platform', 'local'),
    Option('table', 'Name of the table', 'dragonflyknot'),
    Option('bucket', 'Name of the bucket', 'dragonflyknot'),
    Option('access-key', 'Access key of the platform', ''),
    Option('secret-key', 'Secret key of the platform', ''),
    Option('statsd', 'IP:port of statsd; empty for none', ''),
    Option('client-memory-mb', 'Most memory held for clients, in MB', '64'),
    Option('max-sockets', 'Most connections, in and out', '3900'),
    Option('drain-seconds', 'Longest wait for requests at a stop', '60'),
    Option('log-level', 'debug, info, warning or error', 'info'),
)
