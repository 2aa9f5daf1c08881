"""The callers of an experiment and what they got.

A caller wants one answer and sends up to `sends` requests for it, each with
a timeout. `Outcome` keeps what became of every wish, and the ratios are
taken from wishes, never from single requests.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from dragonflyknot.decisions.retry import jittered_retry_after_s
from dragonflyknot.decisions.routing import Ending
from experiments.edgecall import EdgeCall
from experiments.fleet import Fleet, Node
from experiments.traffic import Reply, Request
from experiments.virtual import spread_work_s

HARD_RESEND_S = 0.02
POOL = 2
STEP_S = 0.05


@dataclass(frozen=True, slots=True)
class Stream:
    """Describe the wishes of one workspace for one kind of request.

    `rate` is in wishes a second at a time; `sends` above 1 stands for a
    caller that retries hard and ignores Retry-After.
    """

    workspace: str
    priority: int
    rate: Callable[[float], float]
    plan: tuple[str, ...]
    mean_s: float
    timeout_s: float
    sends: int = 1
    body_bytes: int = 2000
    large: bool = False


@dataclass(slots=True)
class Wish:
    """Keep what became of one wish."""

    stream: Stream
    born: float
    work_s: tuple[float, ...]
    served_at: float | None = None
    over: bool = False


@dataclass(slots=True)
class Callers:
    """Send the wishes of all streams to the edges of a fleet."""

    fleet: Fleet
    rng: random.Random
    shares_by_host: dict[str, float]
    wishes: list[Wish] = field(default_factory=list)

    def run(self, streams: Sequence[Stream], until_s: float) -> None:
        """Start the streams and run the fleet."""
        for stream in streams:
            self._schedule(stream, 0, until_s)
        self.fleet.loop.run(until_s + 1)

    def _schedule(self, stream: Stream, start: float, until_s: float) -> None:
        rate = stream.rate(start)
        wait_s = self.rng.expovariate(rate) if rate else STEP_S
        born = start + min(wait_s, STEP_S)
        if born > until_s:
            return

        def arrive() -> None:
            if wait_s < STEP_S:
                self._wish(stream)
            self._schedule(stream, self.fleet.loop.now, until_s)

        self.fleet.loop.after(born - self.fleet.loop.now, arrive)

    def _wish(self, stream: Stream) -> None:
        work_s = tuple(
            spread_work_s(stream.mean_s, self.rng) for _ in stream.plan
        )
        wish = Wish(stream, self.fleet.loop.now, work_s)
        self.wishes.append(wish)
        self._send(wish, len(self.wishes), 1)

    def _send(self, wish: Wish, number: int, send: int) -> None:
        stream = wish.stream
        loop = self.fleet.loop
        name = f'{number}-{send}'
        request = Request(
            name=name,
            chain=name,
            workspace=stream.workspace,
            priority=stream.priority,
            deadline=loop.now + stream.timeout_s,
            plan=stream.plan,
            work_s=wish.work_s,
            body_bytes=stream.body_bytes,
            large=stream.large,
        )
        pool = self.fleet.policies.pool(POOL)
        tried = _Try(self, wish, number, send)
        tried.call = self._edge().submit(request, pool, tried.answered)
        loop.after(stream.timeout_s, tried.expired)

    def again(self, wish: Wish, number: int, send: int) -> None:
        """Send once more if the caller still wants to."""
        if wish.over:
            return
        if send >= wish.stream.sends:
            wish.over = True
            return
        delay_s = jittered_retry_after_s(HARD_RESEND_S, self.rng)
        self.fleet.loop.after(
            delay_s, lambda: self._send(wish, number, send + 1)
        )

    def _edge(self) -> Node:
        hosts = list(self.shares_by_host)
        weights = list(self.shares_by_host.values())
        return self.fleet.nodes_by_host[
            self.rng.choices(hosts, weights=weights)[0]
        ]


@dataclass(slots=True)
class _Try:
    """Follow one request of a caller."""

    callers: Callers
    wish: Wish
    number: int
    send: int
    call: EdgeCall | None = None
    over: bool = False

    def answered(self, reply: Reply) -> None:
        """Take the reply, unless the caller gave up on it."""
        if self.over:
            return
        self.over = True
        if reply.ending is Ending.DONE:
            self.wish.served_at = self.callers.fleet.loop.now
            self.wish.over = True
        else:
            self.callers.again(self.wish, self.number, self.send)

    def expired(self) -> None:
        """Give up waiting for the reply."""
        if self.over:
            return
        self.over = True
        if self.call is not None:
            self.call.give_up()
        self.callers.again(self.wish, self.number, self.send)
