"""Client of a table service by the DynamoDB protocol."""

from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

from dragonflyknot.stores.dynamoitems import (
    Attributes,
    key_item,
    query_members,
    row_of,
    write_members,
)
from dragonflyknot.stores.errors import (
    AnswerLost,
    ConditionFailed,
    Conflict,
    PlatformError,
    ReadError,
    Rejected,
    Unavailable,
)
from dragonflyknot.stores.interfaces import PAGE_ROWS, Page
from dragonflyknot.stores.serviceclient import ServiceClient
from dragonflyknot.stores.settings import PlatformSettings
from dragonflyknot.stores.wire import (
    Refusal,
    Response,
    WireError,
    read_error,
)
from dragonflyknot.stores.writes import Row, RowKey, Write

TABLE: Final = 'table service'
CONDITION_CODES: Final = frozenset(
    ('ConditionalCheckFailed', 'ConditionalCheckFailedException')
)


class DynamoTable(ServiceClient):
    """Hold the client of one table; a context manager."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Keep the settings; the client opens on entry."""
        endpoint = settings.table_endpoint
        super().__init__('dynamodb', TABLE, endpoint, settings)

    async def get(self, key: RowKey) -> Result[Row | None, ReadError]:
        """Return the row under a key, or none."""
        self.usage.reads += 1
        call = self._client.get_item(
            TableName=self._settings.table,
            Key=key_item(key),
            ConsistentRead=True,
        )
        match await self._answer_to(call):
            case Ok(response):
                return _decoded_row(response.get('Item'))
            case Err(error):
                return Err(read_error(TABLE, error))

    async def query(
        self, partition: str, since: str = ''
    ) -> Result[Page, ReadError]:
        """Return the rows of a partition whose sort is beyond `since`."""
        call = self._client.query(
            TableName=self._settings.table,
            ConsistentRead=True,
            Limit=PAGE_ROWS,
            **query_members(partition, since),
        )
        match await self._answer_to(call):
            case Ok(response):
                self.usage.reads += max(1, len(_items(response)))
                return _decoded_page(response)
            case Err(error):
                self.usage.reads += 1
                return Err(read_error(TABLE, error))

    async def write(self, write: Write) -> Result[None, PlatformError]:
        """Write one row if its condition holds."""
        self.usage.writes += 1
        operation, members = write_members(write, self._settings.table)
        calls = {
            'Put': self._client.put_item,
            'Delete': self._client.delete_item,
        }
        call = calls[operation](**members)
        match await self._answer_to(call):
            case Ok():
                return Ok(None)
            case Err(error):
                return Err(_write_error(error, (write,)))

    async def transact(
        self, writes: Sequence[Write]
    ) -> Result[None, PlatformError]:
        """Write all rows, or none if a condition does not hold."""
        if len(writes) == 1:
            return await self.write(writes[0])
        self.usage.writes += len(writes)
        call = self._client.transact_write_items(
            TransactItems=[self._action(write) for write in writes]
        )
        match await self._answer_to(call):
            case Ok():
                return Ok(None)
            case Err(error):
                return Err(_write_error(error, writes))

    def _action(self, write: Write) -> Response:
        operation, members = write_members(write, self._settings.table)
        return {operation: members}


def _write_error(error: WireError, writes: Sequence[Write]) -> PlatformError:
    match error:
        case Refusal(code, response) if code in CONDITION_CODES:
            current = _row_or_none(response.get('Item'))
            return ConditionFailed((Conflict(writes[0].key, current),))
        case Refusal(code, response):
            reasons = response.get('CancellationReasons') or ()
            return _cancellation(code, reasons, writes)
        case Unavailable() | AnswerLost():
            return error


def _cancellation(
    code: str, reasons: Sequence[Response], writes: Sequence[Write]
) -> PlatformError:
    paired = zip(writes, reasons, strict=False)
    conflicts = tuple(
        _conflict(write, reason)
        for write, reason in paired
        if reason['Code'] in CONDITION_CODES
    )
    if conflicts:
        return ConditionFailed(conflicts)
    if reasons:
        return Unavailable(TABLE, 'transaction conflict')
    return Rejected(TABLE, code)


def _conflict(write: Write, reason: Response) -> Conflict:
    return Conflict(write.key, _row_or_none(reason.get('Item')))


def _decoded_row(
    item: Attributes | None,
) -> Result[Row | None, ReadError]:
    if item is None:
        return Ok(None)
    row = _row_or_none(item)
    if row is None:
        return Err(Rejected(TABLE, 'a row of another layout'))
    return Ok(row)


def _decoded_page(response: Response) -> Result[Page, ReadError]:
    items = _items(response)
    rows = tuple(filter(None, map(_row_or_none, items)))
    if len(rows) < len(items):
        return Err(Rejected(TABLE, 'a row of another layout'))
    return Ok(Page(rows, more='LastEvaluatedKey' in response))


def _items(response: Response) -> Sequence[Attributes]:
    items: Sequence[Attributes] = response.get('Items') or ()
    return items


def _row_or_none(item: Attributes | None) -> Row | None:
    if item is None:
        return None
    try:
        return row_of(item)
    except (KeyError, ValueError):
        return None
