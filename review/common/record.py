"""Record what was sent, answered and run."""

import time
from dataclasses import dataclass
from pathlib import Path

from common.wire import Message


@dataclass(frozen=True)
class Run:
    """Hold one run at a target; `at` is in seconds since the start."""

    attempt: str
    target: str
    at: float
    line: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Sent:
    """Hold one request of a client and its end; a status of 0 is no answer."""

    attempt: str
    daemon: str
    at: float
    ended: float
    status: int


class Record:
    """Write lines to `record.txt` and keep runs and requests."""

    def __init__(self, path: Path) -> None:
        """Begin a new file."""
        self._began = time.monotonic()
        self._file = path.open('w', buffering=1)
        self.runs: list[Run] = []
        self.sent: list[Sent] = []

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, *words: object) -> None:
        """Write a line with its time."""
        self._file.write(f'{self.now:8.3f} {" ".join(map(str, words))}\n')

    def say(self, *words: object) -> None:
        """Write a line and print it."""
        self.write(*words)
        print(f'{self.now:8.3f}', *words, flush=True)

    def ran(self, attempt: str, target: str, request: Message) -> None:
        """Record that a target began to work on a request."""
        self.write('ran', attempt, target)
        self.runs.append(
            Run(
                attempt,
                target,
                self.now,
                request.line,
                request.headers,
                request.body,
            )
        )

    def answered(
        self, attempt: str, daemon: str, at: float, status: int
    ) -> None:
        """Record the end of a client's request."""
        self.sent.append(Sent(attempt, daemon, at, self.now, status))
        self.write('answered', attempt, daemon, status, f'sent={at:.3f}')
