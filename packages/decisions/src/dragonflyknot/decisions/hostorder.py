"""Order hosts by hashes of their names, the same at every host."""

from functools import lru_cache
from hashlib import sha256
from typing import Final

MAX_POSITIONS: Final = 32_768


@lru_cache(MAX_POSITIONS)
def position_of(host: str) -> bytes:
    """Return the position of a host; compare it with those of others."""
    return sha256(host.encode()).digest()
