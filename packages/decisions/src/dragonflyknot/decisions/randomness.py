"""Interface of the random source that callers pass to state machines."""

from typing import Protocol


class Randomness(Protocol):
    """Describe the methods of `random.Random` that the package uses."""

    def random(self) -> float:
        """Return a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Return an integer in [0, stop)."""
