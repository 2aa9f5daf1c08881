"""Receive requests forwarded by other daemons.

Requests without the fleet secret are refused before they reach the gate.
"""

import hmac
import time
from typing import Protocol

from aiohttp import web
from result import Err, Ok

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.calls import Attempt
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.attemptheaders import decode_attempt
from dragonflyknot.exchange.refusing import Refused, refusal_response


class AttemptServer(Protocol):
    """Serves forwarded attempts."""

    async def serve(
        self, attempt: Attempt, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve one attempt."""


class Receiver:
    """Authenticates peers and passes their attempts to the gate."""

    def __init__(self, server: AttemptServer, secret: str) -> None:
        """Serve attempts at a gate for peers with the fleet secret."""
        self._server = server
        self._secret = secret.encode()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request on the listener for peers."""
        secret = request.headers.get(names.HOP_SECRET, '')
        if not hmac.compare_digest(
            secret.encode('utf-8', 'surrogateescape'), self._secret
        ):
            return refusal_response(Refused(Refusal.BAD_PEER), '', '')
        text = request.headers.get(names.HOP_CALL, '')
        match decode_attempt(text, time.monotonic()):
            case Ok(attempt):
                return await self._server.serve(attempt, request)
            case Err():
                return refusal_response(Refused(Refusal.MALFORMED), '', '')
