"""Relay complete responses; abort the connection if one is cut short.

A response is relayed only if it has a length or is chunked, so that its end
is known. If it is cut short before anything was sent on, `BrokenAnswer` is
raised. After that the connection to the receiver is aborted as well, so that
a truncated body never appears complete.
"""

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

MAX_BUFFERED_BYTES = 64 * 1024
FIRST_STATUS = 100
LAST_STATUS = 599
_BODILESS_STATUSES = frozenset((204, 304))


class BrokenAnswer(Exception):
    """Signal that a response ended early.

    `was_begun` states whether a part of it had been relayed.
    """

    def __init__(self, *, was_begun: bool) -> None:
        """Store whether a part of the response was relayed."""
        super().__init__('The response ended early; resolve the attempt.')
        self.was_begun = was_begun


async def relay(
    source: aiohttp.ClientResponse,
    request: web.BaseRequest,
    head: CIMultiDict[str],
) -> web.StreamResponse:
    """Relay a response. Raise BrokenAnswer unless all of it was relayed."""
    if not FIRST_STATUS <= source.status <= LAST_STATUS:
        raise BrokenAnswer(was_begun=False)
    if _has_no_body(source, request):
        return await _relay_head(source, request, head)
    length = _length(source)
    if length is None and not _is_chunked(source):
        raise BrokenAnswer(was_begun=False)
    if length is not None and length <= MAX_BUFFERED_BYTES:
        return await _relay_buffered(source, head)
    return await _relay_streamed(source, request, head, length)


async def _relay_head(
    source: aiohttp.ClientResponse,
    request: web.BaseRequest,
    head: CIMultiDict[str],
) -> web.StreamResponse:
    length = source.headers.get('Content-Length')
    if length is not None and request.method == 'HEAD':
        head['Content-Length'] = length
    return web.Response(status=source.status, headers=head)


async def _relay_buffered(
    source: aiohttp.ClientResponse, head: CIMultiDict[str]
) -> web.StreamResponse:
    try:
        body = await source.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise BrokenAnswer(was_begun=False) from error
    return web.Response(status=source.status, headers=head, body=body)


async def _relay_streamed(
    source: aiohttp.ClientResponse,
    request: web.BaseRequest,
    head: CIMultiDict[str],
    length: int | None,
) -> web.StreamResponse:
    response = web.StreamResponse(status=source.status, headers=head)
    if length is None:
        response.enable_chunked_encoding()
    else:
        response.content_length = length
    await response.prepare(request)
    try:
        await _copy(source, response)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        abort(request)
        raise BrokenAnswer(was_begun=True) from error
    return response


async def _copy(
    source: aiohttp.ClientResponse, response: web.StreamResponse
) -> None:
    async for chunk in source.content.iter_any():
        await response.write(chunk)
    await response.write_eof()


def abort(request: web.BaseRequest) -> None:
    """Abort the connection, so that the receiver sees an error."""
    if request.transport is not None:
        request.transport.abort()


def _has_no_body(
    source: aiohttp.ClientResponse, request: web.BaseRequest
) -> bool:
    return request.method == 'HEAD' or source.status in _BODILESS_STATUSES


def _length(source: aiohttp.ClientResponse) -> int | None:
    return source.content_length


def _is_chunked(source: aiohttp.ClientResponse) -> bool:
    coding = source.headers.get('Transfer-Encoding', '')
    return 'chunked' in coding.lower()
