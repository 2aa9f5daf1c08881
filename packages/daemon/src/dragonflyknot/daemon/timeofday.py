"""The time of day of this host, which may be set at any moment."""

import time
from typing import Final

MS_PER_SECOND: Final = 1000


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return int(time.time() * MS_PER_SECOND)
