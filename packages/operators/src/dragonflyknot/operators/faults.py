"""Faults of a configuration document, each with its place and remedy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe one fault; `place` is a dotted path such as `routes.3.prefix`.

    The message names what is wrong and the remedy says what to write.
    """

    place: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}. {self.remedy}.'


@dataclass(frozen=True, slots=True)
class DocumentFaults:
    """Hold every fault of a document, sorted by place."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return '\n'.join(str(fault) for fault in self.faults)
