"""Header names of the platform's HTTP interface and of the peer protocol.

The platform's names are configuration, so that the same edge and gate work
with platforms that use different names. The constants are in lower case, as
received headers are looked up; the names of a `Dialect` are spelled as sent.
"""

from dataclasses import dataclass
from typing import Final

RESERVED_PREFIX: Final = b'dragonflyknot-'
HOP: Final = b'dragonflyknot-hop'
HOP_LOAD: Final = b'dragonflyknot-load'
HOP_REFUSAL: Final = b'dragonflyknot-refusal'
HOP_BROKEN: Final = b'dragonflyknot-broken'
HOP_HEADERS: Final = frozenset((HOP, HOP_LOAD, HOP_REFUSAL, HOP_BROKEN))
"""Headers of the protocol between daemons, dropped from other messages."""


@dataclass(frozen=True, slots=True)
class Dialect:
    """Name the headers of one platform.

    `signature` marks a response that the upstream itself wrote, `not_run`
    marks a response which states that the request was not executed.
    """

    request_id: bytes
    deadline_ms: bytes
    key: bytes
    workspace: bytes
    caller: bytes
    instance: bytes
    running_instance: bytes
    signature: bytes
    not_run: bytes
    retry_after: bytes = b'Retry-After'

    def stripped_headers(self) -> frozenset[bytes]:
        """Return the lower-case request headers to strip from callers.

        The edge sets them itself, or they belong to the peer protocol.
        """
        own = (
            self.deadline_ms,
            self.key,
            self.workspace,
            self.caller,
            self.instance,
            HOP,
            HOP_LOAD,
            HOP_REFUSAL,
            HOP_BROKEN,
        )
        return frozenset(name.lower() for name in own)
