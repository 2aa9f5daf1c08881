"""Filter headers by the rules of HTTP and by those of the system.

Hop-by-hop headers end at each connection. Headers with the reserved prefix
are the system's own: what a caller sends under it is dropped.
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
_FRAMING = frozenset(('content-length', 'host', 'server', 'date'))
_NO_EXTRA: Mapping[str, str] = MappingProxyType({})


def request_head(
    received: CIMultiDictProxy[str], extra: Mapping[str, str] = _NO_EXTRA
) -> CIMultiDict[str]:
    """Return the headers of a request to pass on, without the key."""
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
    """Return the headers of an answer to pass on."""
    head = _end_to_end(received, (names.HOP_PREFIX,))
    head.update(extra)
    return head


def _end_to_end(
    received: CIMultiDictProxy[str], dropped_prefixes: tuple[str, ...]
) -> CIMultiDict[str]:
    connection_options = _options(received.getall('Connection', ()))
    head: CIMultiDict[str] = CIMultiDict()
    for name, text in received.items():
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered in _FRAMING:
            continue
        if lowered in connection_options:
            continue
        if not lowered.startswith(dropped_prefixes):
            head.add(name, text)
    return head


def _options(lines: Iterable[str]) -> frozenset[str]:
    return frozenset(
        option.strip().lower() for line in lines for option in line.split(',')
    )
