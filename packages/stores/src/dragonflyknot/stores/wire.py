"""Open clients of the published protocols and sort their errors.

The library's own retries are off: every write is conditional, and only
`settling` knows when it may be sent again.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from aiobotocore.config import AioConfig
from aiobotocore.session import AioSession, ClientCreatorContext
from aiohttp import ClientConnectorError
from botocore.exceptions import (
    BotoCoreError,
    ClientError,
    ConnectTimeoutError,
    EndpointConnectionError,
)
from result import Err, Ok, Result

from dragonflyknot.stores.errors import (
    AnswerLost,
    ReadError,
    Rejected,
    Unavailable,
)
from dragonflyknot.stores.settings import (
    MAX_POOL_CONNECTIONS,
    PlatformSettings,
)

Response = dict[str, Any]
_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold an answer by which the service itself refused a call."""

    code: str
    response: Response


WireError = Unavailable | AnswerLost | Refusal

SERVER_ERROR: Final = 500
THROTTLED: Final = frozenset(
    (
        'ProvisionedThroughputExceededException',
        'RequestLimitExceeded',
        'SlowDown',
        'ThrottlingException',
        'TransactionConflictException',
        'TransactionInProgressException',
    )
)


def client_context(
    service: str, endpoint: str, settings: PlatformSettings
) -> ClientCreatorContext:
    """Return the context of a client of `dynamodb` or `s3`."""
    config = AioConfig(
        connect_timeout=settings.deadline_s,
        read_timeout=settings.deadline_s,
        max_pool_connections=MAX_POOL_CONNECTIONS,
        retries={'total_max_attempts': 1, 'mode': 'standard'},
        parameter_validation=False,
        proxies={},
        request_checksum_calculation='when_required',
        response_checksum_validation='when_required',
        s3={'addressing_style': 'path'},
    )
    session_type: Any = AioSession
    context: ClientCreatorContext = session_type().create_client(
        service,
        region_name=settings.region,
        endpoint_url=endpoint,
        aws_access_key_id=settings.access_key,
        aws_secret_access_key=settings.secret_key,
        config=config,
    )
    return context


async def bounded(
    service: str, call: Awaitable[_Answer], deadline_s: float
) -> Result[_Answer, WireError]:
    """Await a call within its deadline and sort its errors."""
    try:
        async with asyncio.timeout(deadline_s):
            return Ok(await call)
    except ClientError as error:
        return Err(_sorted_answer(service, error))
    except (BotoCoreError, TimeoutError, OSError) as error:
        return Err(_sorted_failure(service, error))


def was_answered(answer: Result[object, WireError]) -> bool:
    """Say whether the service answered, if only to refuse."""
    return answer.is_ok() or isinstance(answer.err(), Refusal)


def read_error(service: str, error: WireError) -> ReadError:
    """Return the error of a read, which has no effect to be lost."""
    match error:
        case AnswerLost(_, reason):
            return Unavailable(service, reason)
        case Refusal(code):
            return Rejected(service, code)
        case Unavailable():
            return error


def _sorted_failure(
    service: str, error: BotoCoreError | TimeoutError | OSError
) -> WireError:
    reason = type(error).__name__
    if _never_connected(error):
        return Unavailable(service, reason)
    return AnswerLost(service, reason)


def _never_connected(error: Exception) -> bool:
    """Say whether a call failed before anything was sent.

    The library reports a reset of an open connection as a failure to reach
    the endpoint, too, so its cause decides.
    """
    match error:
        case ConnectTimeoutError():
            return True
        case EndpointConnectionError():
            cause = error.kwargs.get('error')
            return isinstance(cause, ClientConnectorError)
        case _:
            return False


def _sorted_answer(service: str, error: ClientError) -> WireError:
    response: Response = error.response
    code = str(response.get('Error', {}).get('Code', 'no code'))
    if code in THROTTLED:
        return Unavailable(service, code)
    status = response.get('ResponseMetadata', {}).get('HTTPStatusCode', 0)
    if status >= SERVER_ERROR:
        return AnswerLost(service, code)
    return Refusal(code, response)
