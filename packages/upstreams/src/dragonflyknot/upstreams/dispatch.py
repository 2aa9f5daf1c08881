"""Send an admitted attempt to the upstream and relay its answer.

A request is known not to have run only if the connection could not be opened
or the answer says so. After any other failure it may have run.
"""

import asyncio
import time
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from yarl import URL

from dragonflyknot.decisions import headers as names
from dragonflyknot.decisions.calls import Call, Outcome
from dragonflyknot.decisions.refusals import Refusal
from dragonflyknot.exchange.attemptheaders import MS_PER_SECOND
from dragonflyknot.exchange.bodies import RequestBody, read_body
from dragonflyknot.exchange.headerfilter import request_head
from dragonflyknot.exchange.refusing import Refused

_DEFAULT_RETRY_AFTER_S = 1.0
_SERVICE_UNAVAILABLE = 503
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Describe one request to the upstream at `address` (IP:port)."""

    address: str
    chain_id: str
    call: Call
    request: web.BaseRequest


async def send_to_upstream(
    session: aiohttp.ClientSession, upstream_request: UpstreamRequest
) -> aiohttp.ClientResponse | Refused:
    """Return the upstream's response, its body unread, or a refusal."""
    body = await read_body(upstream_request.request)
    left_s = upstream_request.call.deadline - time.monotonic()
    try:
        async with asyncio.timeout(max(left_s, 0)):
            answer = await _send_request(
                session, upstream_request, body, left_s
            )
    except _CONNECT_ERRORS:
        return Refused(Refusal.NO_UPSTREAM, _DEFAULT_RETRY_AFTER_S)
    except (TimeoutError, aiohttp.SocketTimeoutError):
        return Refused(Refusal.UPSTREAM_SILENT)
    except (aiohttp.ClientError, OSError):
        return Refused(Refusal.UPSTREAM_BROKE)
    refused = _refusal_of_upstream(answer)
    if refused is None:
        return answer
    answer.release()
    return refused


async def _send_request(
    session: aiohttp.ClientSession,
    upstream_request: UpstreamRequest,
    body: RequestBody,
    left_s: float,
) -> aiohttp.ClientResponse:
    extra = {
        names.CHAIN: upstream_request.chain_id,
        names.REQUEST_ID: upstream_request.call.request_id,
        names.REQUEST_TIMEOUT: str(max(int(left_s * MS_PER_SECOND), 1)),
    }
    url = URL(
        f'http://{upstream_request.address}{upstream_request.request.raw_path}',
        encoded=True,
    )
    return await session.request(
        upstream_request.request.method,
        url,
        headers=request_head(upstream_request.request.headers, extra),
        data=body.content(),
        allow_redirects=False,
    )


def _refusal_of_upstream(answer: aiohttp.ClientResponse) -> Refused | None:
    if answer.status != _SERVICE_UNAVAILABLE:
        return None
    if answer.headers.get(names.OUTCOME) != Outcome.NOT_RUN.value:
        return None
    return Refused(Refusal.SHED, _retry_after_s(answer))


def _retry_after_s(answer: aiohttp.ClientResponse) -> float:
    text = answer.headers.get(names.RETRY_AFTER, '')
    if text.isascii() and text.isdigit() and len(text) < 5:
        return float(text)
    return _DEFAULT_RETRY_AFTER_S
