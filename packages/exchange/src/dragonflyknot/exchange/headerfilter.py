"""Filter the headers of forwarded requests and responses.

Hop-by-hop headers are never forwarded. Headers with the reserved prefix
belong to the peer protocol: those that a caller or an upstream sends are
dropped.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from multidict import CIMultiDict, CIMultiDictProxy

from dragonflyknot.decisions import headers as names

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_SET_PER_MESSAGE = frozenset(('content-length', 'host', 'server', 'date'))
_NO_EXTRA: Mapping[str, str] = MappingProxyType({})


def request_head(
    received: CIMultiDictProxy[str], extra: Mapping[str, str] = _NO_EXTRA
) -> CIMultiDict[str]:
    """Return the request headers to forward, without the API key.

    `extra` headers replace received ones of the same name.
    """
    head = _end_to_end(received, ('authorization', names.HOP_PREFIX))
    length = received.get('Content-Length')
    if length is not None:
        head['Content-Length'] = length
    host = received.get('Host')
    if host is not None:
        head['Host'] = host
    head.update(extra)
    return head


def answer_head(
    received: CIMultiDictProxy[str], extra: Mapping[str, str] = _NO_EXTRA
) -> CIMultiDict[str]:
    """Return the response headers to forward.

    `extra` headers replace received ones of the same name.
    """
    head = _end_to_end(received, (names.HOP_PREFIX,))
    head.update(extra)
    return head


def _end_to_end(
    received: CIMultiDictProxy[str], dropped_prefixes: tuple[str, ...]
) -> CIMultiDict[str]:
    connection_options = _connection_options(received.getall('Connection', ()))
    head: CIMultiDict[str] = CIMultiDict()
    for name, text in received.items():
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered in _SET_PER_MESSAGE:
            continue
        if lowered in connection_options:
            continue
        if not lowered.startswith(dropped_prefixes):
            head.add(name, text)
    return head


def _connection_options(lines: Iterable[str]) -> frozenset[str]:
    return frozenset(
        option.strip().lower() for line in lines for option in line.split(',')
    )
