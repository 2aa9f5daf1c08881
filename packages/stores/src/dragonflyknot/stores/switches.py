"""Faults that a backend is told to cause."""

from dataclasses import dataclass


@dataclass(slots=True)
class Switches:
    """Hold the faults of one service.

    `down` refuses every call, `delay_s` holds each call back, and
    `lost_answers` counts the writes to come whose answer is lost after they
    took effect.
    """

    down: bool = False
    delay_s: float = 0
    lost_answers: int = 0

    def lose_answer(self) -> bool:
        """Use up one of the answers to lose, if any is left."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True
