"""Make HTTP client sessions that pass requests on unchanged."""

import aiohttp

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
KEEPALIVE_S = 60.0

_AUTOMATIC_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


def relay_session() -> aiohttp.ClientSession:
    """Return a session that adds, decodes and repeats nothing by itself."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_AUTOMATIC_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=IDLE_TIMEOUT_S,
        ),
        read_bufsize=256 * 1024,
    )
    # The library repeats idempotent methods once on a lost connection. Such
    # a retry would not be counted in the pool of the chain.
    session._retry_connection = False
    return session
