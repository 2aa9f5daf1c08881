"""Rows and writes in the JSON form of the DynamoDB protocol.

The client and the stand-in server both use these functions, so that they
speak the same few expressions.
"""

from collections.abc import Mapping
from typing import Final

from dragonflyknot.stores.writes import (
    CompareAndSet,
    DeleteIf,
    PutIfAbsent,
    Row,
    RowKey,
    Write,
    row_after,
)

PARTITION: Final = 'pk'
SORT: Final = 'sk'
VERSION: Final = 'version'
NONCE: Final = 'nonce'
BODY: Final = 'body'

ABSENT: Final = f'attribute_not_exists({PARTITION})'
UNCHANGED: Final = '#nonce = :expected'
WHOLE: Final = f'{PARTITION} = :partition'
BEYOND: Final = f'{WHOLE} AND {SORT} > :since'
ALL_OLD: Final = 'ALL_OLD'

STRING: Final = 'S'
NUMBER: Final = 'N'

Item = dict[str, dict[str, str]]
Attributes = Mapping[str, Mapping[str, str]]
Members = dict[str, object]


def key_item(key: RowKey) -> Item:
    """Return the key attributes of a row."""
    return {PARTITION: {STRING: key.partition}, SORT: {STRING: key.sort}}


def row_item(row: Row) -> Item:
    """Return all attributes of a row."""
    return {
        **key_item(row.key),
        VERSION: {NUMBER: str(row.version)},
        NONCE: {STRING: row.nonce},
        BODY: {STRING: row.body},
    }


def key_of(item: Attributes) -> RowKey:
    """Return the key in an item; raise `KeyError` if it has none."""
    return RowKey(item[PARTITION][STRING], item[SORT][STRING])


def row_of(item: Attributes) -> Row:
    """Return the row in an item; raise `KeyError` or `ValueError`."""
    return Row(
        key_of(item),
        int(item[VERSION][NUMBER]),
        item[NONCE][STRING],
        item[BODY][STRING],
    )


def write_members(write: Write, table: str) -> tuple[str, Members]:
    """Return the operation (`Put` or `Delete`) of a write and its members."""
    members: Members = {
        'TableName': table,
        'ReturnValuesOnConditionCheckFailure': ALL_OLD,
    }
    match write:
        case PutIfAbsent():
            item = row_item(row_after(write))
            return 'Put', members | {
                'Item': item,
                'ConditionExpression': ABSENT,
            }
        case CompareAndSet(expected):
            item = row_item(row_after(write))
            return 'Put', members | {'Item': item} | _unchanged(expected)
        case DeleteIf(expected):
            key = key_item(expected.key)
            return 'Delete', members | {'Key': key} | _unchanged(expected)


def query_members(partition: str, since: str) -> Members:
    """Return the condition of a query; the protocol has no empty keys."""
    if since:
        return {
            'KeyConditionExpression': BEYOND,
            'ExpressionAttributeValues': {
                ':partition': {STRING: partition},
                ':since': {STRING: since},
            },
        }
    return {
        'KeyConditionExpression': WHOLE,
        'ExpressionAttributeValues': {':partition': {STRING: partition}},
    }


def _unchanged(expected: Row) -> Members:
    return {
        'ConditionExpression': UNCHANGED,
        'ExpressionAttributeNames': {'#nonce': NONCE},
        'ExpressionAttributeValues': {':expected': {STRING: expected.nonce}},
    }
