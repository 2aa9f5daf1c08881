"""Read a partition of the table to its end."""

from result import Err, Ok, Result

from dragonflyknot.stores.errors import ReadError
from dragonflyknot.stores.interfaces import Table
from dragonflyknot.stores.writes import Row


async def read_all(
    table: Table, partition: str, since: str = ''
) -> Result[tuple[Row, ...], ReadError]:
    """Return the rows of a partition beyond `since`, in order."""
    rows: list[Row] = []
    more = True
    while more:
        page = await table.query(partition, since)
        if isinstance(page, Err):
            return page
        rows.extend(page.ok_value.rows)
        more = page.ok_value.more and bool(page.ok_value.rows)
        since = rows[-1].key.sort if rows else since
    return Ok(tuple(rows))
