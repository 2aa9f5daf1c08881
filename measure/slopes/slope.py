"""The common result of the measured slopes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold one figure in its unit."""

    name: str
    unit: str
    figure: float
