"""Accept connections, a bounded number a turn and at a time."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import structlog

from dragonflyknot.exchange.linkset import LinkSet

BACKLOG: Final = 1024
MAX_ACCEPTS_A_TURN: Final = 32
# The process has no descriptor left for another connection.
ACCEPT_PAUSE_S: Final = 0.1
# The kernel takes about as much again for its own bookkeeping. Many links get
# less each, so that the sum stays below the memory of a small machine. A
# segment over loopback has 64 KB; with room for less, each waits for a delayed
# acknowledgement.
RECEIVE_BUFFER_BYTES: Final = 32 * 1024
SMALL_RECEIVE_BUFFER_BYTES: Final = 8 * 1024
SEND_BUFFER_BYTES: Final = 64 * 1024
LINKS_WITH_LARGE_BUFFERS: Final = 256
_log = structlog.get_logger(__name__)


class Acceptor:
    """Listen on an address and make a protocol for each connection."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        factory: Callable[[], asyncio.Protocol],
        links: 'LinkSet[Any]',
    ) -> None:
        """Create an acceptor that does not listen; `port` is 0 until then."""
        self.port = 0
        self._loop = loop
        self._factory = factory
        self._links = links
        self._socket: socket.socket | None = None
        self._opening: dict[asyncio.Task[Any], socket.socket] = {}
        self._retry: asyncio.TimerHandle | None = None

    def listen(self, host: str, port: int) -> None:
        """Accept connections on an address; port 0 selects a free one."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _bound_buffer(listening, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        _bound_buffer(listening, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listening.setblocking(False)
        try:
            listening.bind((host, port))
            listening.listen(BACKLOG)
        except BaseException:
            listening.close()
            raise
        self._socket = listening
        self.port = listening.getsockname()[1]
        self._loop.add_reader(listening, self._accept_some)

    def stop(self) -> None:
        """Stop accepting connections; serve those that were made before.

        Connections that wait to be accepted would be reset by the close.
        """
        listening = self._socket
        if listening is None:
            return
        self._socket = None
        self._loop.remove_reader(listening)
        if self._retry is not None:
            self._retry.cancel()
        with suppress(OSError):
            while True:
                connection, _address = listening.accept()
                self._open(connection)
        listening.close()

    def abort(self) -> None:
        """Stop, and drop the connections that are not open yet."""
        self.stop()
        for task in tuple(self._opening):
            task.cancel()

    def _accept_some(self) -> None:
        for _ in range(MAX_ACCEPTS_A_TURN):
            if self._socket is None:
                return
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                self._pause(error)
                return
            if self._links.make_room(len(self._opening)):
                self._open(connection)
            else:
                connection.close()

    def _pause(self, error: OSError) -> None:
        _log.warning('accept_failed', error=type(error).__name__)
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._retry = self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept_some)

    def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        if len(self._links) >= LINKS_WITH_LARGE_BUFFERS:
            _bound_buffer(
                connection, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES
            )
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(self._factory, connection)
        )
        self._opening[task] = connection
        task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[Any]) -> None:
        connection = self._opening.pop(task)
        if task.cancelled():
            # A task that never ran has not taken the connection over.
            connection.close()
        elif task.exception() is not None:
            _log.info('open_failed', error=type(task.exception()).__name__)


def _bound_buffer(
    connection: socket.socket, option: int, size_bytes: int
) -> None:
    """Bound what the kernel holds for a connection in one direction."""
    connection.setsockopt(socket.SOL_SOCKET, option, size_bytes)
