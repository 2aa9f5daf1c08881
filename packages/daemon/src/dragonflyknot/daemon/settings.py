"""Check the settings of the daemon and report all faults at once."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
)
from result import Err, Ok, Result

from dragonflyknot.daemon.options import OPTIONS, Option

_ADDRESS = re.compile(r'^(\[[0-9A-Fa-f:]+\]|[0-9.]+):(\d{1,5})$')
_MAX_PORT = 65535


def _address(text: str) -> str:
    match = _ADDRESS.match(text)
    if match is None or int(match.group(2)) > _MAX_PORT:
        raise ValueError('give an IP number and a port, as in 127.0.0.1:8080')
    return text


def _addresses(text: str) -> str:
    for part in split_list(text):
        _address(part)
    return text


def _optional_address(text: str) -> str:
    return _address(text) if text else text


def _long_secret(secret: SecretStr) -> SecretStr:
    if len(secret.get_secret_value()) < 16:
        raise ValueError('give a secret of at least 16 characters')
    return secret


_Name = Annotated[
    str, Field(pattern=r'^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$', max_length=63)
]
_Url = Annotated[str, Field(pattern=r'^https?://[^\s/]+$')]
_Address = Annotated[str, AfterValidator(_address)]
_OptionalAddress = Annotated[str, AfterValidator(_optional_address)]
_Secret = Annotated[SecretStr, AfterValidator(_long_secret)]
_ClientMemoryMb = Annotated[int, Field(ge=1, le=1_000_000)]
_MaxSockets = Annotated[int, Field(ge=64, le=1_000_000)]
_DrainSeconds = Annotated[float, Field(gt=0, le=3600)]


class Settings(BaseModel):
    """Hold the checked settings of a daemon."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    host: _Name
    data_center: _Name
    region: _Name
    environment: _Name
    callers_listen: _Address
    upstream_listen: _Address
    requests_listen: _Address
    control_listen: _Address
    requests_advertise: _OptionalAddress
    control_advertise: _OptionalAddress
    operators_listen: _Address
    seeds: Annotated[str, AfterValidator(_addresses)]
    calls: str
    fleet_secret: _Secret
    store_region: str
    table_endpoint: _Url
    objects_endpoint: _Url
    platform_region: str
    table: str
    bucket: str
    access_key: SecretStr
    secret_key: SecretStr
    statsd: _OptionalAddress
    client_memory_mb: _ClientMemoryMb
    max_sockets: _MaxSockets
    drain_seconds: _DrainSeconds
    log_level: Literal['debug', 'info', 'warning', 'error']

    @property
    def peers_requests(self) -> str:
        """Return where peers forward requests to, as IP:port."""
        return self.requests_advertise or self.requests_listen

    @property
    def peers_control(self) -> str:
        """Return where peers call the control channel, as IP:port."""
        return self.control_advertise or self.control_listen


@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """List what is wrong with the settings, each with its remedy."""

    messages: tuple[str, ...]

    def __str__(self) -> str:
        """Return one line a fault."""
        return '\n'.join(self.messages)


def load_settings(
    flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> Result[Settings, SettingsFaults]:
    """Return the settings, or all of their faults."""
    texts_by_field = {}
    for option in OPTIONS:
        text = _text_of(option, flags, environ)
        if text is not None:
            texts_by_field[option.field] = text
    try:
        return Ok(Settings.model_validate(texts_by_field))
    except ValidationError as error:
        return Err(SettingsFaults(tuple(_messages(error))))


def split_list(text: str) -> tuple[str, ...]:
    """Return the parts of a list that is separated by commas."""
    return tuple(part.strip() for part in text.split(',') if part.strip())


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a checked address."""
    number, _, port = address.rpartition(':')
    return number.strip('[]'), int(port)


def _text_of(
    option: Option,
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> str | None:
    flag = flags.get(option.name)
    if flag is not None:
        return flag
    return environ.get(option.variable, option.default)


def _messages(error: ValidationError) -> list[str]:
    options_by_field = {option.field: option for option in OPTIONS}
    messages = []
    for fault in error.errors(include_input=False, include_url=False):
        option = options_by_field[str(fault['loc'][0])]
        place = f'--{option.name} (or {option.variable})'
        reason = fault['msg']
        messages.append(f'{place}: {reason} [{option.description}]')
    return messages
