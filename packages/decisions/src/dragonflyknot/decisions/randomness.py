"""Randomness that the caller of a state machine owns and seeds."""

from typing import Protocol


class Randomness(Protocol):
    """Draw numbers as `random.Random` does."""

    def random(self) -> float:
        """Return a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Return an integer in [0, stop)."""
