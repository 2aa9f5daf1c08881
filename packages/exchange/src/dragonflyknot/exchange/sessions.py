"""Create HTTP client sessions that forward requests unchanged."""

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
    """Return a session that forwards without decoding or retrying."""
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
    # aiohttp retries idempotent methods once if the connection is lost. Such
    # a retry would not count against the retry budget of the chain.
    session._retry_connection = False
    return session
