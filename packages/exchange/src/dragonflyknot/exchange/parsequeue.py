"""Bound the received bytes that are parsed in one turn of the event loop."""

import asyncio
from collections import deque
from typing import Final, Protocol

MAX_STEPS_A_TURN: Final = 64


class Parsing(Protocol):
    """A connection whose received bytes are parsed in steps."""

    def step(self) -> bool:
        """Parse a bounded part; return whether more can be parsed now."""


class ParseQueue:
    """Let connections parse in turn, a bounded number of steps a turn.

    While there is room in the present turn, a connection parses at once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create an empty queue."""
        self._loop = loop
        self._waiting: deque[Parsing] = deque()
        self._queued: set[Parsing] = set()
        self._steps = 0
        self._is_scheduled = False

    def run(self, parsing: Parsing) -> None:
        """Run a step of a connection, now or in a later turn."""
        if parsing in self._queued:
            return
        if self._waiting or self._steps >= MAX_STEPS_A_TURN:
            self._enqueue(parsing)
            return
        self._steps += 1
        if parsing.step():
            self._enqueue(parsing)
        elif not self._is_scheduled:
            self._schedule()

    def remove(self, parsing: Parsing) -> None:
        """Forget a connection that was lost."""
        # What stays in the order is passed over.
        self._queued.discard(parsing)

    def _enqueue(self, parsing: Parsing) -> None:
        self._queued.add(parsing)
        self._waiting.append(parsing)
        if not self._is_scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._is_scheduled = True
        self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        self._steps = 0
        while self._waiting and self._steps < MAX_STEPS_A_TURN:
            parsing = self._waiting.popleft()
            if parsing not in self._queued:
                continue
            self._queued.discard(parsing)
            self._steps += 1
            if parsing.step():
                self._queued.add(parsing)
                self._waiting.append(parsing)
        if self._waiting:
            self._schedule()
