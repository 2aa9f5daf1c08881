"""Client of an object store by the S3 protocol.

Objects are immutable, so a write may be sent twice without harm and a lost
answer needs no read-back.
"""

from typing import Final, TypeVar

from result import Err, Ok, Result

from dragonflyknot.stores.errors import (
    AnswerLost,
    PlatformError,
    ReadError,
    Rejected,
    Unavailable,
)
from dragonflyknot.stores.serviceclient import ServiceClient
from dragonflyknot.stores.settings import PlatformSettings
from dragonflyknot.stores.wire import (
    Refusal,
    WireError,
    read_error,
)

OBJECTS: Final = 'object store'
ABSENT_CODES: Final = frozenset(('404', 'NoSuchKey', 'NotFound'))
PRESENT_CODES: Final = frozenset(
    ('412', 'PreconditionFailed', 'ConditionalRequestConflict')
)
MAX_SENDS: Final = 3

_Answer = TypeVar('_Answer')


class S3Objects(ServiceClient):
    """Hold the client of one bucket; a context manager."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Keep the settings; the client opens on entry."""
        endpoint = settings.objects_endpoint
        super().__init__('s3', OBJECTS, endpoint, settings)

    async def get(self, key: str) -> Result[bytes | None, ReadError]:
        """Return the content under a key, or none."""
        self.usage.reads += 1
        call = self._read(key)
        match await self._answer_to(call):
            case Ok(content):
                return Ok(content)
            case Err(Refusal(code)) if code in ABSENT_CODES:
                return Ok(None)
            case Err(error):
                return Err(read_error(OBJECTS, error))

    async def put(
        self, key: str, content: bytes
    ) -> Result[None, PlatformError]:
        """Store content under a key unless the key exists."""
        answer = await self._put_once(key, content)
        sends = 1
        while sends < MAX_SENDS and _is_lost(answer):
            answer = await self._put_once(key, content)
            sends += 1
        return answer

    async def exists(self, key: str) -> Result[bool, ReadError]:
        """Say whether a key exists."""
        self.usage.reads += 1
        call = self._client.head_object(Bucket=self._settings.bucket, Key=key)
        match await self._answer_to(call):
            case Ok():
                return Ok(True)
            case Err(Refusal(code)) if code in ABSENT_CODES:
                return Ok(False)
            case Err(error):
                return Err(read_error(OBJECTS, error))

    async def _read(self, key: str) -> bytes:
        response = await self._client.get_object(
            Bucket=self._settings.bucket, Key=key
        )
        async with response['Body'] as stream:
            content: bytes = await stream.read()
        return content

    async def _put_once(
        self, key: str, content: bytes
    ) -> Result[None, PlatformError]:
        self.usage.writes += 1
        call = self._client.put_object(
            Bucket=self._settings.bucket,
            Key=key,
            Body=content,
            IfNoneMatch='*',
        )
        match await self._answer_to(call):
            case Ok():
                return Ok(None)
            case Err(Refusal(code)) if code in PRESENT_CODES:
                return Ok(None)
            case Err(error):
                return Err(_write_error(error))


def _write_error(error: WireError) -> PlatformError:
    match error:
        case Refusal(code):
            return Rejected(OBJECTS, code)
        case Unavailable() | AnswerLost():
            return error


def _is_lost(answer: Result[None, PlatformError]) -> bool:
    return isinstance(answer.err(), AnswerLost)
