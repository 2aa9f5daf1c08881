"""The calls of the DynamoDB protocol, served from an embedded table."""

import json
from collections.abc import Mapping
from typing import Any, Final

from aiohttp import web
from result import Err, Ok, Result

from dragonflyknot.stores.dynamoitems import (
    ABSENT,
    UNCHANGED,
    key_of,
    row_item,
    row_of,
)
from dragonflyknot.stores.embedded import EmbeddedTable
from dragonflyknot.stores.errors import (
    AnswerLost,
    ConditionFailed,
    PlatformError,
    ReadError,
    Rejected,
)
from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    Write,
)

CONTENT_TYPE: Final = 'application/x-amz-json-1.0'
TARGET: Final = 'X-Amz-Target'
TARGET_PREFIX: Final = 'DynamoDB_20120810.'
ERROR_PREFIX: Final = 'com.amazonaws.dynamodb.v20120810#'

Members = Mapping[str, Any]


class LostAnswerError(Exception):
    """Say that the connection is to be cut without an answer."""


class TableCalls:
    """Serve the calls of one table, whatever its name."""

    def __init__(self, table: EmbeddedTable) -> None:
        """Serve `table`."""
        self._table = table

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one call of the protocol."""
        target = request.headers.get(TARGET, '')
        operation = target.removeprefix(TARGET_PREFIX)
        try:
            members = json.loads(await request.read())
            return await self._dispatch(operation, members)
        except (KeyError, TypeError, ValueError) as error:
            return _refused('ValidationException', str(error))

    async def _dispatch(self, operation: str, members: Members) -> web.Response:
        match operation:
            case 'GetItem':
                return await self._get(members)
            case 'Query':
                return await self._query(members)
            case 'PutItem' | 'DeleteItem':
                write = _write_of(operation.removesuffix('Item'), members)
                return _answer_single(await self._table.write(write))
            case 'TransactWriteItems':
                return await self._transact(members)
            case _:
                return _refused('UnknownOperationException', operation)

    async def _get(self, members: Members) -> web.Response:
        match await self._table.get(key_of(members['Key'])):
            case Ok(row):
                return _answered(_item_member(row))
            case Err(error):
                return _failed(error)

    async def _query(self, members: Members) -> web.Response:
        values = members['ExpressionAttributeValues']
        since = values.get(':since', {'S': ''})['S']
        match await self._table.query(values[':partition']['S'], since):
            case Ok(page):
                items = [row_item(row) for row in page.rows]
                answer: dict[str, object] = {'Items': items}
                if page.more:
                    answer['LastEvaluatedKey'] = items[-1]
                return _answered(answer)
            case Err(error):
                return _failed(error)

    async def _transact(self, members: Members) -> web.Response:
        writes = [
            _write_of(operation, entry)
            for action in members['TransactItems']
            for operation, entry in action.items()
        ]
        match await self._table.transact(writes):
            case Err(ConditionFailed() as failed):
                return _cancelled(writes, failed)
            case Err(error):
                return _failed(error)
            case _:
                return _answered({})


def _write_of(operation: str, members: Members) -> Write:
    match operation, members['ConditionExpression']:
        case 'Put', condition if condition == ABSENT:
            row = row_of(members['Item'])
            return PutIfAbsent(row.key, row.nonce, row.body)
        case 'Put', condition if condition == UNCHANGED:
            row = row_of(members['Item'])
            return CompareAndSet(
                _expected(members, row.key, row.version - 1),
                row.nonce,
                row.body,
            )
        case 'Delete', condition if condition == UNCHANGED:
            return DeleteIf(_expected(members, key_of(members['Key']), 0))
        case _:
            raise ValueError(f'{operation} with this condition is not served')


def _expected(members: Members, key: RowKey, version: int) -> Row:
    nonce = members['ExpressionAttributeValues'][':expected']['S']
    return Row(key, version, nonce, '')


def _answer_single(answer: Result[None, PlatformError]) -> web.Response:
    match answer:
        case Err(ConditionFailed() as failed):
            return _condition_failed(failed)
        case Err(error):
            return _failed(error)
        case _:
            return _answered({})


def _condition_failed(failed: ConditionFailed) -> web.Response:
    return _refused(
        'ConditionalCheckFailedException',
        'The condition failed',
        _item_member(failed.current),
    )


def _cancelled(writes: list[Write], failed: ConditionFailed) -> web.Response:
    current_by_key = {
        conflict.key: conflict.current for conflict in failed.conflicts
    }
    reasons = [
        _reason(current_by_key[write.key])
        if write.key in current_by_key
        else {'Code': 'None'}
        for write in writes
    ]
    return _refused(
        'TransactionCanceledException',
        'Transaction cancelled',
        {'CancellationReasons': reasons},
    )


def _reason(current: Row | None) -> dict[str, object]:
    return {'Code': 'ConditionalCheckFailed', **_item_member(current)}


def _item_member(row: Row | None) -> dict[str, object]:
    return {} if row is None else {'Item': row_item(row)}


def _failed(error: PlatformError | ReadError) -> web.Response:
    match error:
        case AnswerLost():
            raise LostAnswerError
        case Rejected(_, code):
            return _refused('ValidationException', code)
        case _:
            return _refused('ServiceUnavailable', str(error), status=503)


def _refused(
    code: str,
    message: str,
    extra: Mapping[str, object] | None = None,
    status: int = 400,
) -> web.Response:
    body = {'__type': f'{ERROR_PREFIX}{code}', 'message': message}
    return _answered({**body, **(extra or {})}, status)


def _answered(members: Mapping[str, object], status: int = 200) -> web.Response:
    return web.Response(
        text=json.dumps(members), status=status, content_type=CONTENT_TYPE
    )
