"""Upstreams whose bytes on a kept connection answer no request."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import testtools

from asyncrun import run_async
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
