"""Where the platform's services are and how to sign in to them."""

from dataclasses import dataclass, field
from typing import Final

DEFAULT_DEADLINE_S: Final = 2.0
MAX_POOL_CONNECTIONS: Final = 8


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Hold endpoints (URLs), credentials and the deadline of a call.

    The credentials never show in the representation.
    """

    table_endpoint: str
    objects_endpoint: str
    region: str
    table: str
    bucket: str
    access_key: str = field(repr=False)
    secret_key: str = field(repr=False)
    deadline_s: float = DEFAULT_DEADLINE_S
