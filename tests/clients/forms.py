"""What the clients of a crowd send, by name."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

MB: Final = 1024 * 1024
# Far more than a client sends until it is closed.
ENDLESS: Final = 1 << 40
_HEAD_BEGIN: Final = b'GET / HTTP/1.1\r\nHost: h\r\n'
_HEAD: Final = b'Host: h\r\nAttempt-Id: c\r\nKey: key\r\n'
_DEADLINE: Final = b'Request-Deadline: 600000\r\n'
_FIELD: Final = b'X-Field: ' + b'a' * 14_000 + b'\r\n'
_CHUNKED: Final = (
    b'POST /book/x HTTP/1.1\r\n'
    + _HEAD
    + _DEADLINE
    + b'Transfer-Encoding: chunked\r\n\r\n'
)
_GET: Final = b'GET /read/x HTTP/1.1\r\n' + _HEAD
_LONG_FIELD: Final = b'X-Field: ' + b'a' * 11_000 + b'\r\n'
_LARGE_CHUNK: Final = b'8000\r\n' + bytes(0x8000) + b'\r\n'
_TINY_CHUNK: Final = b'1\r\nx\r\n'
_LONG_REQUEST: Final = _GET + _LONG_FIELD + b'\r\n'
_BARE_REQUEST: Final = (
    b'GET /open/x HTTP/1.1\r\nHost: h\r\n' + _LONG_FIELD + b'\r\n'
)
_SMALL_REQUEST: Final = b'GET /open/x HTTP/1.1\r\nHost: h\r\n\r\n'


@dataclass(frozen=True)
class Form:
    """Describe what one client sends; it reads no answers.

    After `start` comes `part` again and again, `most_bytes` in all. The client
    then stays open. `pause_s` is the time between two parts, in seconds.
    """

    start: bytes = b''
    part: bytes = b''
    most_bytes: int = 4 * MB
    pause_s: float = 0


FORMS_BY_NAME: Final[Mapping[str, Form]] = {
    'idle': Form(most_bytes=0),
    'slow heads': Form(_HEAD_BEGIN + b'X: ', b'a', ENDLESS, pause_s=0.5),
    'long heads': Form(_HEAD_BEGIN, _FIELD, 840_000),
    'header lines': Form(_HEAD_BEGIN, b'X: a\r\n' * 100, ENDLESS),
    'empty lines': Form(b'', b'\r\n' * 500, ENDLESS),
    'chunk extension': Form(_CHUNKED + b'5;', b'a' * 1000, ENDLESS),
    'chunk size': Form(_CHUNKED, b'0' * 1000, ENDLESS),
    'trailers': Form(_CHUNKED + b'0\r\n', b'X: a\r\n' * 100, ENDLESS),
    'large chunks': Form(_CHUNKED, _LARGE_CHUNK, 2 * MB),
    'tiny chunks': Form(_CHUNKED, _TINY_CHUNK * 100, 600_000),
    'requests ahead': Form(b'', _LONG_REQUEST, 2 * MB),
    'bare requests ahead': Form(b'', _BARE_REQUEST, 2 * MB),
    'small requests ahead': Form(b'', _SMALL_REQUEST * 20, 8_000),
    'long answers': Form(_GET + _DEADLINE + b'\r\n', most_bytes=0),
    'one upload': Form(_CHUNKED, _LARGE_CHUNK, 8 * MB),
    'one length': Form(
        b'POST /book/x HTTP/1.1\r\n'
        + _HEAD
        + _DEADLINE
        + b'Content-Length: 8388608\r\n\r\n',
        bytes(0x8000),
        8 * MB - 1,
    ),
}
