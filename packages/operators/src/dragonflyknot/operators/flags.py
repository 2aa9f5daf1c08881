"""Flags of the command line, each also an environment variable.

A flag goes before the variable of the same name, which goes before the
default. The names are those of the daemon where both have the flag.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from dragonflyknot.stores.settings import PlatformSettings

VARIABLE_PREFIX: Final = 'DRAGONFLYKNOT_'


@dataclass(frozen=True, slots=True)
class Flag:
    """Describe a flag; one without a default is required."""

    name: str
    description: str
    default: str | None = None

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return VARIABLE_PREFIX + self.name.upper().replace('-', '_')


@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """List the flags that are missing or malformed."""

    messages: tuple[str, ...]

    def __str__(self) -> str:
        return '\n'.join(self.messages)


ENVIRONMENT: Final = Flag('environment', 'Environment: trial or production')
BASE: Final = Flag('base', 'Revision that the change was made from', '0')
OPERATOR: Final = Flag('operator', 'Name recorded with the change')
REASON: Final = Flag('reason', 'Reason recorded with the change', '')
WAIT: Final = Flag('wait', 'Seconds to wait for the live daemons', '10')
DAEMONS: Final = Flag('daemons', "Operators' listeners (IP:port), by comma")
SOME_DAEMONS: Final = Flag(DAEMONS.name, DAEMONS.description, '')
LABEL: Final = Flag('label', 'Note on the use of the key', '')
LISTEN: Final = Flag('listen', 'IP:port of the page', '127.0.0.1:8090')
PLATFORM: Final = (
    Flag('table-endpoint', 'URL of the table service'),
    Flag('objects-endpoint', 'URL of the object store'),
    Flag('platform-region', 'Region name of the platform', 'local'),
    Flag('table', 'Name of the table', 'dragonflyknot'),
    Flag('bucket', 'Name of the bucket', 'dragonflyknot'),
    Flag('access-key', 'Access key of the platform'),
    Flag('secret-key', 'Secret key of the platform'),
)


@dataclass(frozen=True, slots=True)
class Settings:
    """Look up the settings of one command."""

    text_by_name: Mapping[str, str]

    def text(self, flag: Flag) -> str:
        """Return the text of a flag that was read."""
        return self.text_by_name[flag.name]

    def number(self, flag: Flag) -> int:
        """Return a count; `read_settings` has checked it."""
        return int(self.text_by_name[flag.name])

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the daemons."""
        parts = self.text_by_name[DAEMONS.name].split(',')
        return tuple(part.strip() for part in parts if part.strip())

    def platform(self) -> PlatformSettings:
        """Return the settings of the platform's services."""
        text_by_name = self.text_by_name
        return PlatformSettings(
            table_endpoint=text_by_name['table-endpoint'],
            objects_endpoint=text_by_name['objects-endpoint'],
            region=text_by_name['platform-region'],
            table=text_by_name['table'],
            bucket=text_by_name['bucket'],
            access_key=text_by_name['access-key'],
            secret_key=text_by_name['secret-key'],
        )


def read_settings(
    flags: tuple[Flag, ...],
    given: Callable[[str], str | None],
    environ: Mapping[str, str],
) -> Result[Settings, SettingsFaults]:
    """Return the settings of a command, or all of their faults."""
    text_by_name: dict[str, str] = {}
    messages: list[str] = []
    for flag in flags:
        text = given(flag.name) or environ.get(flag.variable) or flag.default
        if text is None:
            messages.append(_missing(flag))
        elif flag in {BASE, WAIT} and not text.isdecimal():
            messages.append(f'--{flag.name} takes a whole number of 0 or more.')
        else:
            text_by_name[flag.name] = text
    if messages:
        return Err(SettingsFaults(tuple(messages)))
    return Ok(Settings(text_by_name))


def _missing(flag: Flag) -> str:
    return (
        f'--{flag.name} is missing; pass it or set {flag.variable}'
        f' ({flag.description}).'
    )
