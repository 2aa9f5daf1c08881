"""Read what a process uses, from the kernel's tables."""

import os
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_BYTES_PER_MB = 1_000_000
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / _TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES / _BYTES_PER_MB
