"""Tests of the reuse of idle links."""

import testtools

from asyncrun import run_async
from dragonflyknot.exchange import clientlink
from dragonflyknot.exchange.clientlink import ClientLink, LinkLost
from dragonflyknot.exchange.linkpool import LinkPool
from dragonflyknot.exchange.listener import serving
from dragonflyknot.exchange.serverrequest import Request

_REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


async def _answer(request: Request) -> None:
    request.respond(200, ())


async def _exchange(pool: LinkPool) -> ClientLink:
    link = await pool.acquire()
    link.send(_REQUEST, is_head=False)
    answer = await link.receive()
    await clientlink.read_body(answer)
    pool.release(link)
    return link


class DroppedLinkTest(testtools.TestCase):
    """The peer silently drops idle connections, so that reuse fails."""

    def test_lost_link_shortens_the_idle_timeout(self) -> None:
        """Do not reuse links that were idle as long as one that was lost."""

        async def body() -> None:
            async with serving('127.0.0.1', 0, _answer) as server:
                pool = LinkPool(
                    '127.0.0.1', server.port, idle_s=8, user_timeout_ms=1000
                )
                first = await _exchange(pool)
                self.assertIs(first, await _exchange(pool))
                for idle_s, is_same in ((0.25, True), (0.4, False)):
                    first.idle_since -= idle_s
                    link = await pool.acquire()
                    self.assertEqual(is_same, link is first)
                    if is_same:
                        link.idle_before_use_s = 0.5
                        pool.report_lost(link)
                    pool.release(link)
                pool.close()

        run_async(body())

    def test_lost_busy_link_keeps_the_idle_timeout(self) -> None:
        """Keep the idle timeout if a link was lost that was hardly idle."""

        async def body() -> None:
            async with serving('127.0.0.1', 0, _answer) as server:
                pool = LinkPool(
                    '127.0.0.1', server.port, idle_s=8, user_timeout_ms=1000
                )
                first = await _exchange(pool)
                first.idle_before_use_s = 0.01
                pool.report_lost(first)
                first.idle_since -= 5
                self.assertIs(first, await pool.acquire())
                pool.close()

        run_async(body())

    def test_reset_link_raises_link_lost(self) -> None:
        """Report that a request on a link that was reset may have arrived."""

        async def reset(request: Request) -> None:
            request.link.abort()

        async def body() -> None:
            async with serving('127.0.0.1', 0, reset) as server:
                pool = LinkPool(
                    '127.0.0.1', server.port, idle_s=8, user_timeout_ms=1000
                )
                try:
                    await _exchange(pool)
                except LinkLost as lost:
                    self.assertTrue(lost.was_sent)
                else:
                    self.fail('The link was not lost.')

        run_async(body())


class RefusedRequestTest(testtools.TestCase):
    """A request that is sent again goes over another link."""

    # Guards against a second answer to the first send that is taken as the
    # answer to the second send.
    def test_link_is_not_used_twice_for_a_request(self) -> None:
        """Pass over the link, and leave it to other requests."""

        async def body() -> None:
            async with serving('127.0.0.1', 0, _answer) as server:
                pool = LinkPool(
                    '127.0.0.1', server.port, idle_s=8, user_timeout_ms=1000
                )
                first = await _exchange(pool)
                first.remember_unserved(b'a')
                second = await pool.acquire(request_id=b'a')
                self.assertIsNot(first, second)
                self.assertIs(first, await pool.acquire(request_id=b'b'))
                pool.release(second)
                pool.release(first)
                self.assertIs(second, await pool.acquire(request_id=b'a'))
                pool.close()
                second.abort()

        run_async(body())

    # Guards against ids that are collected without a bound.
    def test_remembered_ids_are_bounded(self) -> None:
        """Close a link that carried too many requests to be sent again."""

        async def body() -> None:
            async with serving('127.0.0.1', 0, _answer) as server:
                pool = LinkPool(
                    '127.0.0.1', server.port, idle_s=8, user_timeout_ms=1000
                )
                link = await _exchange(pool)
                for number in range(clientlink.MAX_UNSERVED_IDS):
                    self.assertIs(link, await pool.acquire())
                    link.remember_unserved(b'%d' % number)
                    pool.release(link)
                self.assertIsNot(link, await pool.acquire())
                pool.close()

        run_async(body())


class OddAddressTest(testtools.TestCase):
    """An address that nobody can connect to is a lost link."""

    # Guards against callers that end by an error other than LinkLost.
    def test_address_out_of_range(self) -> None:
        """Raise LinkLost, as for a host that does not answer."""

        async def body() -> None:
            for host, port in (
                ('127.0.0.1', 99999),
                ('127.0.0.1', -1),
                ('127.0.0.1', 10**30),
                ('a' * 64, 1),
                ('\ud800', 1),
                ('127.0.0.1\0', 1),
            ):
                pool = LinkPool(host, port, idle_s=8, user_timeout_ms=1000)
                with testtools.ExpectedException(LinkLost):
                    await pool.acquire()

        run_async(body())
