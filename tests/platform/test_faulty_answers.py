"""Upstreams whose bytes on a kept connection answer no request."""

import asyncio
import contextlib
import itertools
from collections import Counter
from dataclasses import dataclass, field

import testtools

from asyncrun import run_async
from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.exchange.clientlink import read_body
from dragonflyknot.exchange.linkpool import LinkPool
from fakeupstream import Seen, whole
from sitefleet import SiteFleet

NOT_RUN_STATUSES = (408, 421, 429, 503)


def refusal(seen: Seen) -> bytes:
    """Return a whole refusal of a request."""
    return whole(seen, b'', '503 Full', 'Not-Executed: 1\r\n')


@dataclass
class ReplayingUpstream:
    """Refuse each id once, and repeat a refusal before the next answer.

    The repetition is written on the same connection, when the next request
    has arrived on it.
    """

    sent_by_connection: dict[int, bytes] = field(default_factory=dict)
    runs_by_id: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        request_id = seen.headers['attempt-id']
        writer.write(self.sent_by_connection.pop(id(writer), b''))
        if request_id in self.refused_ids:
            self.runs_by_id[request_id] += 1
            writer.write(whole(seen))
            return
        self.refused_ids.add(request_id)
        writer.write(refusal(seen))
        self.sent_by_connection[id(writer)] = refusal(seen)


class ReplayedRefusalTest(testtools.TestCase):
    """An upstream writes an earlier refusal once more."""

    # Guards against a refusal of the first send that is taken as the answer
    # to the second send of the same request on the same connection.
    def test_unsafe_requests_that_ran_are_not_refused(self) -> None:
        """Run each request once and return its answer."""

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = ReplayingUpstream()
                fleet.upstreams[0].script = upstream
                for number in range(3):
                    reply = await fleet.ask(
                        path='/book/x', method='POST', Attempt_Id=f'r{number}'
                    )
                    runs = upstream.runs_by_id[f'r{number}']
                    self.assertEqual((200, 1), (reply.status, runs))

        run_async(body())


class SkippedAnswerTest(testtools.TestCase):
    """An answer to another request arrives before the own one."""

    # Guards against a link that reads nothing more once an answer to another
    # request has excluded it from reuse.
    def test_own_answer_arrives_later(self) -> None:
        """Wait for the own answer, and close the connection after it."""

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            extra = whole(Seen('', {'attempt-id': 'other'}, b''), b'extra')
            for part in (extra[:-2], extra[-2:], whole(seen)):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.02)

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                upstream.script = script
                for number in range(1, 4):
                    reply = await fleet.ask(path='/book/x', method='POST')
                    self.assertEqual((200, b'ok'), (reply.status, reply.body))
                    self.assertEqual(number, upstream.connections)

        run_async(body())

    # Guards against the loss of an answer that comes before the request has
    # been sent whole: what follows its head was not read.
    def test_answer_of_an_unusable_link_is_read_whole(self) -> None:
        """Read a response on that is in progress on the link."""

        has_ended = asyncio.Event()
        parts = (b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab', b'cd')

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.02)
            with contextlib.suppress(ConnectionError):
                await reader.read(-1)
            writer.close()
            has_ended.set()

        async def body() -> None:
            server = await asyncio.start_server(answer, '127.0.0.1')
            pool = LinkPool(
                '127.0.0.1',
                server.sockets[0].getsockname()[1],
                idle_s=8,
                user_timeout_ms=1000,
            )
            link = await pool.acquire()
            link.send(b'GET / HTTP/1.1\r\n\r\n', is_head=False)
            response = await link.receive()
            link.mark_unusable()
            self.assertEqual(b'abcd', await read_body(response))
            self.assertFalse(link.is_reusable)
            pool.release(link)
            await has_ended.wait()
            server.close()
            await server.wait_closed()
            await asyncio.sleep(0.01)

        run_async(body())

    # Guards against answers to other requests that are read without a bound.
    def test_skipped_answers_are_bounded(self) -> None:
        """Fail the request, and close the connection."""

        async def script(_seen: Seen, writer: asyncio.StreamWriter) -> None:
            extra = whole(Seen('', {'attempt-id': 'other'}, b''), b'extra')
            while True:
                writer.write(extra)
                await writer.drain()
                await asyncio.sleep(0.001)

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                upstream.script = script
                reply = await fleet.ask(path='/book/x', method='POST')
                self.assertEqual(502, reply.status)
                await fleet.until(lambda: upstream.dropped == 1)

        run_async(body())


class UnidentifiedAnswerTest(testtools.TestCase):
    """An upstream writes an answer without the id of a request."""

    # Guards against a refusal without an id, left over on a kept connection,
    # that is taken as a promise for the request sent after it.
    def test_left_over_answer_is_skipped(self) -> None:
        """Wait for the answer with the id of the request."""
        connections: set[int] = set()
        left_over = (
            b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
            b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n'
            b'Content-Length: 3\r\n\r\nold',
        )

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                for extra in left_over:

                    async def script(
                        seen: Seen,
                        writer: asyncio.StreamWriter,
                        extra: bytes = extra,
                    ) -> None:
                        if id(writer) in connections:
                            writer.write(extra)
                        connections.add(id(writer))
                        writer.write(whole(seen))

                    upstream.script = script
                    for _request in range(3):
                        reply = await fleet.ask(path='/book/x', method='POST')
                        self.assertEqual(
                            (200, b'ok'), (reply.status, reply.body), str(extra)
                        )
                requests = 3 * len(left_over)
                self.assertEqual(requests, len(upstream.seen))

        run_async(body())

    # Guards against a promise that rests on a refusal without an id.
    def test_refusal_without_an_id_is_no_promise(self) -> None:
        """Answer 502, as the request may have run, and send it to no other."""

        async def refuse(seen: Seen, writer: asyncio.StreamWriter) -> None:
            head = 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
            writer.write(f'{head}Content-Length: 0\r\n\r\n'.encode())

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                for upstream in fleet.upstreams:
                    upstream.script = refuse
                reply = await fleet.ask(path='/book/x', method='POST')
                sends = sum(len(one.seen) for one in fleet.upstreams)
                self.assertEqual((502, 1), (reply.status, sends))

        run_async(body())

    # Guards against a promise that is withheld from a request without an id.
    def test_request_without_an_id_is_refused_without_one(self) -> None:
        """Promise not-run, and give it no answer with another id."""

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(whole(Seen('', {'attempt-id': 'old'}, b''), b'old'))
            head = 'HTTP/1.1 400 No id\r\nNot-Executed: 1\r\n'
            writer.write(f'{head}Content-Length: 0\r\n\r\n'.encode())

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                fleet.upstreams[0].script = script
                for _request in range(3):
                    reply = await fleet.ask(Attempt_Id='')
                    self.assertEqual(503, reply.status)

        run_async(body())

    # Guards against an answer to a request that is taken for a health check.
    def test_health_check_skips_answers_to_requests(self) -> None:
        """Return the instance in the answer without an id."""
        name = 'Instance-Id'

        async def script(_seen: Seen, writer: asyncio.StreamWriter) -> None:
            extra = Seen('', {'attempt-id': 'old'}, b'')
            writer.write(whole(extra, b'', '503 Full', f'{name}: wrong\r\n'))
            head = f'HTTP/1.1 200 OK\r\n{name}: right\r\n'
            writer.write(f'{head}Content-Length: 0\r\n\r\n'.encode())

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                await fleet.ask()
                fleet.upstreams[0].script = script
                instance = await fleet.hosts[0].gate.check_health('/healthz')
                self.assertEqual('right', instance)

        run_async(body())


class InterimAnswerTest(testtools.TestCase):
    """An upstream sends informational responses."""

    def check(
        self, expected: int, cases: tuple[tuple[bytes, str, int], ...]
    ) -> None:
        """Ask twice, with so many responses in parts before the answer."""

        async def ask(fleet: SiteFleet, case: tuple[bytes, str, int]) -> int:
            interim, method, count = case

            async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
                request_id = seen.headers['attempt-id'].encode()
                response = interim.replace(b'ID', request_id)
                for _response in range(count):
                    writer.write(response[:-3])
                    await writer.drain()
                    await asyncio.sleep(0.001)
                    writer.write(response[-3:])
                answer = whole(seen)
                writer.write(answer[:-2] if method == 'HEAD' else answer)

            for _request in range(2):
                await fleet.ask(path='/book/x')
            fleet.upstreams[0].script = script
            reply = await fleet.ask(path='/book/x', method=method)
            return reply.status

        async def close(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(whole(seen, extra='Connection: close\r\n'))

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                # The first of each two requests opens a connection.
                for case, before in itertools.product(cases, (close, None)):
                    fleet.upstreams[0].script = before
                    status = await ask(fleet, case)
                    self.assertEqual(expected, status, str(case))

        run_async(body())

    # Guards against an interim response that is taken as the final one.
    def test_interim_responses_are_skipped(self) -> None:
        """Return the final answer."""
        early_hints = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
        cases = (
            (b'HTTP/1.1 100 Continue\r\n\r\n', 'POST', 1),
            (b'HTTP/1.1 100 Continue\r\n\r\n', 'HEAD', 2),
            (early_hints, 'GET', 1),
            (early_hints, 'POST', 8),
            (b'HTTP/1.1 199 Any\r\nNot-Executed: 1\r\n\r\n', 'POST', 1),
        )
        self.check(200, cases)

    # Guards against interim responses that are read without a bound.
    def test_interim_responses_are_bounded(self) -> None:
        """Answer 502 after too many, and where the protocol is switched."""
        signed = b'Response-Signature: s\r\nAttempt-Id: ID\r\n\r\n'
        switch = b'HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n'
        cases = (
            (b'HTTP/1.1 100 Continue\r\n\r\n', 'POST', 100),
            (switch + b'\r\n', 'POST', 1),
            (switch + signed, 'POST', 1),
        )
        self.check(502, cases)


class JoinedAnswerTest(testtools.TestCase):
    """The beginning of an extra answer precedes the own one."""

    beginnings = (
        b'H',
        b'HTTP/1.1 503',
        b'HTTP/1.1 503 Fu',
        b'HTTP/1.1 503 Full\r',
        b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n',
        b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX-',
        b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX-A: ',
        b'HTTP/1.1 503 Full\r\nAttempt-Id: o\r\nNot-Executed: 1\r\nX-A: b',
        b'HTTP/1.1 421 Other\r\nX-A: b',
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nX-A: ',
    )

    # Guards against the beginning of an extra answer behind a whole one,
    # which was joined with the next answer to a refusal of what had run.
    def test_beginning_behind_a_whole_answer(self) -> None:
        """Close the connection, and return the answer over another."""

        beginning = [b'']

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            is_head = seen.line.startswith('HEAD')
            content = b'' if is_head else b'ok'
            writer.write(whole(seen, content) + beginning[0])

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                upstream.script = script
                for beginning[0] in self.beginnings:
                    for method in ('POST', 'POST', 'HEAD', 'HEAD'):
                        reply = await fleet.ask(path='/book/x', method=method)
                        self.assertEqual(200, reply.status, str(beginning))
                    sends = len(upstream.seen)
                    self.assertEqual(sends, upstream.connections)

        run_async(body())

    # Guards against a beginning that arrives only after the next request.
    def test_beginning_before_the_answer(self) -> None:
        """Answer 502, as the request may have run, and send it once."""

        beginning = [b'']
        pause_s = [0.0]

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(beginning[0])
            await writer.drain()
            await asyncio.sleep(pause_s[0])
            writer.write(whole(seen))

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                cases = itertools.product(self.beginnings, (0.0, 0.01))
                for beginning[0], pause_s[0] in cases:
                    upstream.script = None
                    await fleet.ask(path='/book/x')
                    upstream.script = script
                    sends = len(upstream.seen)
                    reply = await fleet.ask(path='/book/x', method='POST')
                    sends = len(upstream.seen) - sends
                    self.assertEqual(
                        (502, 1), (reply.status, sends), str(beginning)
                    )

        run_async(body())

    # Guards against connections that are closed though nothing is wrong.
    def test_whole_answers_keep_their_connection(self) -> None:
        """Use one connection for all requests, also for HEAD."""

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            is_head = seen.line.startswith('HEAD')
            answer = whole(seen, b'', extra='Via: HTTP/1.1 one\r\n')
            writer.write(answer if is_head else answer + b'\r\n')

        async def body() -> None:
            async with SiteFleet(1) as fleet:
                upstream = fleet.upstreams[0]
                upstream.script = script
                for method in ('GET', 'HEAD', 'GET', 'HEAD', 'HEAD', 'POST'):
                    reply = await fleet.ask(path='/book/x', method=method)
                    self.assertEqual(200, reply.status)
                self.assertEqual(1, upstream.connections)

        run_async(body())


class ReservedHeaderTest(testtools.TestCase):
    """An upstream sends headers of the protocol between daemons."""

    # Guards against an answer that another host takes for a refusal.
    def test_answer_is_no_refusal_of_a_gate(self) -> None:
        """Return the answer over another host, without those headers."""
        lines = (
            'Dragonflyknot-Refusal: shed,1\r\n',
            'Dragonflyknot-Broken: shed\r\n',
            'Dragonflyknot-Load: ready,0,0,0,9,0\r\n',
        )

        line = ['']

        async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(whole(seen, extra=line[0]))

        async def body() -> None:
            async with SiteFleet(2) as fleet:
                await fleet.announce(1, UpstreamState.DRAINING)
                fleet.upstreams[0].script = script
                for line[0], number in itertools.product(lines, (1, 0)):
                    reply = await fleet.ask(number, '/book/x', 'POST')
                    self.assertEqual(200, reply.status, line[0])
                    name = line[0].partition(':')[0].lower()
                    self.assertNotIn(name, reply.headers)
                self.assertEqual(6, len(fleet.upstreams[0].seen))

        run_async(body())
