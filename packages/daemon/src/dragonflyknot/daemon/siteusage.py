"""Log what a daemon has asked of the store and exchanged with its peers."""

import asyncio
from typing import Final

import structlog

from dragonflyknot.peers.sitelinks import PeerLinks
from dragonflyknot.stores.rowstore import RowStore

LOG_INTERVAL_S: Final = 10.0
_log = structlog.get_logger(__name__)


async def log_usage_on(store: RowStore, links: PeerLinks) -> None:
    """Log the totals at intervals, until cancelled."""
    while True:
        await asyncio.sleep(LOG_INTERVAL_S)
        log_usage(store, links)


def log_usage(store: RowStore, links: PeerLinks) -> None:
    """Log the totals since the start of the process."""
    _log.info(
        'usage',
        store_calls=dict(store.calls_by_kind),
        peer_bytes=dict(links.bytes_by_kind),
    )
