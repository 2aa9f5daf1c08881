"""The calls of the S3 protocol, served from embedded objects."""

from typing import Final

from aiohttp import web
from result import Err, Ok

from dragonflyknot.stores.embedded import EmbeddedObjects
from dragonflyknot.stores.errors import AnswerLost, PlatformError
from dragonflyknot.stores.standin.tablecalls import LostAnswerError

XML: Final = 'application/xml'
NOT_FOUND: Final = 404
PRECONDITION_FAILED: Final = 412
UNAVAILABLE: Final = 503


class ObjectCalls:
    """Serve the objects of every bucket by path-style addresses."""

    def __init__(self, objects: EmbeddedObjects) -> None:
        """Serve `objects`."""
        self._objects = objects

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one call of the protocol."""
        key = request.match_info['path']
        match request.method:
            case 'PUT':
                return await self._put(key, request)
            case 'GET' | 'HEAD':
                return await self._get(key)
            case _:
                return _error('MethodNotAllowed', 405)

    async def _put(self, key: str, request: web.Request) -> web.Response:
        content = await request.read()
        is_conditional = request.headers.get('If-None-Match') == '*'
        if is_conditional and self._objects.holds(key):
            return _error('PreconditionFailed', PRECONDITION_FAILED)
        match await self._objects.put(key, content):
            case Err(error):
                return _failed(error)
            case _:
                return web.Response(headers={'ETag': '"content"'})

    async def _get(self, key: str) -> web.Response:
        match await self._objects.get(key):
            case Ok(content):
                return _found(content)
            case Err(error):
                return _failed(error)


def _found(content: bytes | None) -> web.Response:
    if content is None:
        return _error('NoSuchKey', NOT_FOUND)
    return web.Response(body=content)


def _failed(error: PlatformError) -> web.Response:
    match error:
        case AnswerLost():
            raise LostAnswerError
        case _:
            return _error('ServiceUnavailable', UNAVAILABLE)


def _error(code: str, status: int) -> web.Response:
    body = f'<Error><Code>{code}</Code><Message>{code}</Message></Error>'
    return web.Response(text=body, status=status, content_type=XML)
