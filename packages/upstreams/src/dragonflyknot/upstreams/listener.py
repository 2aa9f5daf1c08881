"""Serve the announcements and deeper calls of the upstream of this host.

A deeper call carries the chain id of a request in flight. Any other request
on this listener is refused, so that the checks of the edge can't be bypassed.
"""

import time
from collections.abc import Callable
from typing import Protocol

from aiohttp import web
from result import Err, Ok

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.admission import Announced
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.refusing import Refused, refusal_response
from dragonflyknot.upstreams.admissionqueue import AdmissionQueue
from dragonflyknot.upstreams.announcements import (
    Announcement,
    AnnouncementCache,
    parse_announcement,
)

ANNOUNCEMENT_PATH = '/.dragonflyknot/announcement'
MAX_ANNOUNCEMENT_BYTES = 4096


class DeeperCallServer(Protocol):
    """Serve the deeper calls of a chain in flight."""

    async def serve_deeper(
        self, request: web.BaseRequest, chain_id: str
    ) -> web.StreamResponse:
        """Serve one deeper call."""


class UpstreamListener:
    """Handle the requests of the upstream."""

    def __init__(
        self,
        announcements: AnnouncementCache,
        admission_queue: AdmissionQueue,
        deeper: DeeperCallServer,
        on_change: Callable[[], None],
    ) -> None:
        """Create a listener that reports state changes to `on_change`."""
        self._announcements = announcements
        self._admission_queue = admission_queue
        self._deeper = deeper
        self._on_change = on_change
        self._last_announcement: Announcement | None = None

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request of the upstream."""
        if request.path == ANNOUNCEMENT_PATH:
            return await self._receive_announcement(request)
        chain_id = request.headers.get(names.CHAIN)
        if chain_id is None:
            return refusal_response(Refused(Refusal.CHAIN_UNKNOWN), '', '')
        return await self._deeper.serve_deeper(request, chain_id)

    def expire_announcement(self) -> None:
        """Report the upstream as gone if its announcement has expired."""
        if self._last_announcement is None:
            return
        if self._announcements.current(time.monotonic()) is None:
            self._last_announcement = None
            self._admission_queue.apply(Announced(0, UpstreamState.GONE))
            self._on_change()

    async def _receive_announcement(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.method != 'PUT':
            return web.json_response(
                {'message': 'Send the announcement with PUT.'}, status=405
            )
        body = await request.content.read(MAX_ANNOUNCEMENT_BYTES)
        match parse_announcement(body):
            case Ok(announcement):
                self._renew(announcement)
                return web.json_response({'renew_within_s': 1})
            case Err(message):
                return web.json_response({'message': message}, status=400)

    def _renew(self, announcement: Announcement) -> None:
        self._announcements.renew(announcement, time.monotonic())
        if announcement == self._last_announcement:
            return
        self._last_announcement = announcement
        self._admission_queue.apply(
            Announced(announcement.slots, announcement.state)
        )
        self._on_change()
