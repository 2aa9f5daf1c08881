"""Test connections that are accepted while a listener ends."""

import asyncio
import gc
import socket

import testtools

from asyncrun import run_async
from dragonflyknot.exchange.listener import Limits, Server
from dragonflyknot.exchange.serverrequest import Request


async def _serve_nothing(_request: Request) -> None:
    """Serve no request."""


class AbortedListenerTest(testtools.TestCase):
    """A listener that is aborted closes what it has accepted."""

    # Guards against accepted connections that nobody owns: they stay open
    # until they are collected, with a warning in whatever runs then.
    def test_connection_that_is_not_open_yet(self) -> None:
        """Close a connection that was accepted in the same turn."""

        async def body() -> None:
            server = Server(_serve_nothing, Limits())
            server.listen('127.0.0.1', 0)
            with socket.create_connection(('127.0.0.1', server.port)) as client:
                server.abort()
                await asyncio.sleep(0)
                gc.collect()
                client.setblocking(False)
                received = await asyncio.get_running_loop().sock_recv(client, 1)
                self.assertEqual(b'', received)

        run_async(body())
