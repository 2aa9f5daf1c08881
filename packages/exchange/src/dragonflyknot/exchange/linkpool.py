"""Pool of the idle client links to one address.

After the peer silently dropped an idle link, the pool shortens its idle
timeout for a while.
"""

import asyncio
import time
from collections import deque
from typing import Final

from dragonflyknot.exchange.clientlink import ClientLink, LinkLost

CONNECT_TIMEOUT_S: Final = 0.5
MAX_IDLE_LINKS: Final = 256
MIN_IDLE_TIMEOUT_S: Final = 0.1
# After a link broke when it was reused, links are kept idle for only this
# share of the time for which that link had been idle.
IDLE_TIMEOUT_BACKOFF_RATIO: Final = 0.6
IDLE_TIMEOUT_BACKOFF_S: Final = 20.0
# The last two are about an address that nobody can connect to.
_CONNECT_ERRORS: Final = (OSError, TimeoutError, OverflowError, ValueError)


class LinkPool:
    """Hold the idle links to one address, in last-in, first-out order."""

    def __init__(
        self, host: str, port: int, *, idle_s: float, user_timeout_ms: int
    ) -> None:
        """Create an empty pool; `idle_s` is the idle timeout of its links."""
        self.host = host
        self.port = port
        self.idle_s = idle_s
        self._silent_after_ms = user_timeout_ms
        self._idle: deque[ClientLink] = deque()
        self._reduced_idle_s = idle_s
        self._reduced_until = float(0)

    async def acquire(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_s: float | None = None,
        request_id: bytes = b'',
    ) -> ClientLink:
        """Return a reusable idle link, or a new one.

        `max_idle_s` further limits how long a reused link may have been
        idle. A link that carried `request_id` before is not used for it again.
        Raise LinkLost if no connection opens within the timeout.
        """
        now = time.monotonic()
        limit_s = self._idle_limit_s(now)
        if max_idle_s is not None:
            limit_s = min(limit_s, max_idle_s)
        link = self._take_idle(now, limit_s, request_id)
        if link is not None:
            return link
        self.trim()
        return await self._open(connect_timeout_s)

    def release(self, link: ClientLink) -> None:
        """Return a link to the pool, or abort it if it is not reusable."""
        link.is_busy = False
        is_full = len(self._idle) >= MAX_IDLE_LINKS
        if is_full or not link.is_reusable or link.has_partial_response:
            link.abort()
            return
        link.idle_since = time.monotonic()
        self._idle.append(link)

    def report_lost(self, link: ClientLink) -> None:
        """Shorten the idle timeout after a reused link was lost.

        The peer has probably closed the link while it was idle. A link that
        was hardly idle is no evidence of that.
        """
        now = time.monotonic()
        if link.idle_before_use_s < MIN_IDLE_TIMEOUT_S:
            return
        reduced_s = max(
            MIN_IDLE_TIMEOUT_S,
            link.idle_before_use_s * IDLE_TIMEOUT_BACKOFF_RATIO,
        )
        self._reduced_idle_s = min(self._idle_limit_s(now), reduced_s)
        self._reduced_until = now + IDLE_TIMEOUT_BACKOFF_S

    def trim(self) -> None:
        """Close the links that exceeded the idle timeout."""
        now = time.monotonic()
        cutoff = now - self._idle_limit_s(now)
        while self._idle and self._idle[0].idle_since < cutoff:
            self._idle.popleft().abort()

    def close(self) -> None:
        """Close every idle link."""
        while self._idle:
            self._idle.popleft().abort()

    def _take_idle(
        self, now: float, limit_s: float, request_id: bytes
    ) -> ClientLink | None:
        """Return the last idle link that may carry the request, if any."""
        passed_over: list[ClientLink] = []
        taken: ClientLink | None = None
        while self._idle and taken is None:
            link = self._idle[-1]
            link.idle_before_use_s = now - link.idle_since
            if link.idle_before_use_s > limit_s and link.is_reusable:
                break
            self._idle.pop()
            if request_id in link.unserved_ids:
                passed_over.append(link)
            elif link.is_reusable:
                taken = link
        self._idle.extend(reversed(passed_over))
        return taken

    def _idle_limit_s(self, now: float) -> float:
        if now >= self._reduced_until:
            return self.idle_s
        return min(self.idle_s, self._reduced_idle_s)

    async def _open(self, connect_timeout_s: float) -> ClientLink:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_s):
                _transport, link = await loop.create_connection(
                    lambda: ClientLink(self._silent_after_ms),
                    self.host,
                    self.port,
                )
        except _CONNECT_ERRORS as error:
            raise LinkLost(was_sent=False) from error
        return link
