"""Virtual time and a fake upstream for experiments without processes."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

THRASH = 0.3
COLD_SPEED = 0.1
WARM_AFTER_REQUESTS = 300

Action = Callable[[], None]


class VirtualLoop:
    """Run actions in the order of their virtual time in seconds."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.now = float(0)
        self._actions: list[tuple[float, int, Action]] = []
        self._sequence = 0

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        self._sequence += 1
        due = (self.now + delay_s, self._sequence, action)
        heappush(self._actions, due)

    def run(self, until_s: float) -> None:
        """Run everything that is due up to a time."""
        while self._actions and self._actions[0][0] <= until_s:
            due, _, action = heappop(self._actions)
            self.now = due
            action()
        self.now = until_s


@dataclass(slots=True)
class FakeUpstream:
    """Serve requests; slow down beyond the slots and while cold.

    `slowness` multiplies every service time. Beyond `slots` busy requests
    they share the capacity, and some of it is lost to the crowd.
    """

    loop: VirtualLoop
    slots: int
    slowness: float = 1
    fails: bool = False
    busy: int = 0
    served: int = WARM_AFTER_REQUESTS
    _ends_by_name: dict[str, '_End'] = field(default_factory=dict)

    def start(self, name: str, work_s: float, done: Action) -> None:
        """Work on a request, then call back."""
        self.busy += 1
        speed = min(1, COLD_SPEED + self.served / WARM_AFTER_REQUESTS)
        crowd = max(1, self.busy / (self.slots * speed))
        slowdown = crowd * (1 + THRASH * (crowd - 1)) * self.slowness
        seconds = 0.002 if self.fails else work_s * slowdown

        self._schedule(name, seconds, done)

    def cancel(self, name: str) -> None:
        """Stop the work on a request."""
        self.busy -= 1
        self._ends_by_name.pop(name)

    def slow(self, slowness: float) -> None:
        """Change the speed, also of the requests that are being served."""
        factor = slowness / self.slowness
        self.slowness = slowness
        for name, end in list(self._ends_by_name.items()):
            left_s = max(0, end.due - self.loop.now)
            self._schedule(name, left_s * factor, end.done)

    def _schedule(self, name: str, seconds: float, done: Action) -> None:
        end = _End(self.loop.now + seconds, done)
        self._ends_by_name[name] = end

        def finish() -> None:
            if self._ends_by_name.get(name) is end:
                self._ends_by_name.pop(name)
                self.busy -= 1
                self.served += 1
                done()

        self.loop.after(seconds, finish)


@dataclass(frozen=True, slots=True, eq=False)
class _End:
    due: float
    done: Action


def spread_work_s(mean_s: float, rng: random.Random) -> float:
    """Return a service time around its mean."""
    return mean_s * rng.uniform(0.5, 1.5)
