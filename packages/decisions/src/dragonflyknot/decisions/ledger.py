"""Record of the attempts at a gate; makes each run at most once.

An attempt is addressed to an incarnation of a gate, and its id starts with
the ledger epoch that the edge last received from that gate (see
`make_attempt_id`). An epoch lasts some seconds on the gate's own clock. It is
extended while few attempts arrive and ends early when it is full. So no two
clocks are compared, memory is bounded, and an edge that rarely calls an idle
gate still knows an epoch that the gate accepts:

* an attempt of an epoch that is still accepted runs at most once;
* an attempt of an older epoch that is still retained is refused. The ledger
  knows all attempts of that epoch, so the refusal is final;
* nothing is known of an epoch that is no longer retained, and no attempt of
  it is ever accepted. An attempt once resolved as never run stays so.
"""

from dataclasses import dataclass
from enum import Enum, unique

# Minimum duration of an epoch that does not fill up.
MIN_EPOCH_S = 10.0
ACCEPTED_EPOCHS = 6
RETAINED_EPOCHS = 12

# An epoch is extended until it has this many attempts.
MIN_EPOCH_ATTEMPTS = 256

# An epoch ends early at this many attempts.
MAX_EPOCH_ATTEMPTS = 8192

_NO_EPOCH = -1


@dataclass(frozen=True, slots=True)
class Accepted:
    """Admit the attempt to the queue; its id is new."""


@dataclass(frozen=True, slots=True)
class WrongIncarnation:
    """Refuse an attempt for an earlier process; it was not run."""


@dataclass(frozen=True, slots=True)
class Revoked:
    """Refuse an attempt that did not run and never will."""


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Refuse an attempt that was seen before or is no longer known.

    The sender of the duplicate cannot tell the outcome of the attempt.
    """


OfferResult = Accepted | WrongIncarnation | Revoked | Duplicate


@dataclass(frozen=True, slots=True)
class ResolvedNever:
    """Guarantee that the attempt did not run and never will."""


@dataclass(frozen=True, slots=True)
class ResolvedQueued:
    """Report that the attempt waits in the queue."""


@dataclass(frozen=True, slots=True)
class ResolvedRunning:
    """Report that the attempt is running at the upstream."""


@dataclass(frozen=True, slots=True)
class ResolvedFinished:
    """Report that the attempt ran and whether its response is kept."""

    answer_kept: bool


@dataclass(frozen=True, slots=True)
class ResolvedUnknown:
    """Report that this process cannot know whether the attempt ran."""


Resolved = (
    ResolvedNever
    | ResolvedQueued
    | ResolvedRunning
    | ResolvedFinished
    | ResolvedUnknown
)


@unique
class _State(Enum):
    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    ANSWERED = 'answered'
    NEVER = 'never'


_IN_FLIGHT = frozenset((_State.QUEUED, _State.RUNNING))


class Ledger:
    """Record every attempt of the retained epochs."""

    def __init__(
        self, incarnation: int, max_epoch_attempts: int = MAX_EPOCH_ATTEMPTS
    ) -> None:
        """Start empty; `max_epoch_attempts` ends an epoch early."""
        self.incarnation = incarnation
        self._max_epoch_attempts = max_epoch_attempts
        self._min_epoch_attempts = min(MIN_EPOCH_ATTEMPTS, max_epoch_attempts)
        self._incarnations = {incarnation}
        self._states_by_attempt: dict[str, _State] = {}
        self._attempts_by_epoch: dict[int, list[str]] = {0: []}
        self._epoch = 0
        self._oldest_epoch = 0
        self._epoch_end: float | None = None
        self._epoch_attempts = 0

    def __len__(self) -> int:
        """Return the number of recorded attempts."""
        return len(self._states_by_attempt)

    def add_incarnation(self, incarnation: int) -> None:
        """Accept attempts for a further incarnation of this process."""
        self.incarnation = incarnation
        self._incarnations.add(incarnation)

    def epoch(self, now: float) -> int:
        """Return the current epoch, which senders put into attempt ids."""
        if self._epoch_end is None:
            self._epoch_end = now + MIN_EPOCH_S
        is_full = self._epoch_attempts >= self._max_epoch_attempts
        has_ended = (
            now >= self._epoch_end
            and self._epoch_attempts >= self._min_epoch_attempts
        )
        if is_full or has_ended:
            self._begin_epoch(now)
        return self._epoch

    def offer(
        self, attempt_id: str, incarnation: int, now: float
    ) -> OfferResult:
        """Decide whether an arriving attempt may enter the queue."""
        if incarnation not in self._incarnations:
            return WrongIncarnation()
        current = self.epoch(now)
        state = self._states_by_attempt.get(attempt_id)
        if state is _State.NEVER:
            return Revoked()
        epoch = parse_epoch(attempt_id)
        age = current - epoch
        if (
            state is not None
            or epoch < self._oldest_epoch
            or age < -RETAINED_EPOCHS
        ):
            return Duplicate()
        if age >= ACCEPTED_EPOCHS:
            return Revoked()
        if age < 0:
            # The id carries an epoch of an earlier process.
            self._record(attempt_id, epoch, _State.NEVER)
            return Revoked()
        self._record(attempt_id, epoch, _State.QUEUED)
        return Accepted()

    def mark_started(self, attempt_id: str, now: float) -> bool:
        """Mark an attempt as running; if false, it must not be sent."""
        if self._states_by_attempt.get(attempt_id) is not _State.QUEUED:
            return False
        self._states_by_attempt[attempt_id] = _State.RUNNING
        return True

    def mark_finished(
        self, attempt_id: str, answer_kept: bool, now: float
    ) -> None:
        """Mark an attempt that ran or may have run."""
        if self._states_by_attempt.get(attempt_id) in _IN_FLIGHT:
            self._states_by_attempt[attempt_id] = (
                _State.ANSWERED if answer_kept else _State.FINISHED
            )

    def mark_answer_dropped(self, attempt_id: str) -> None:
        """Mark a finished attempt whose response is no longer kept."""
        if self._states_by_attempt.get(attempt_id) is _State.ANSWERED:
            self._states_by_attempt[attempt_id] = _State.FINISHED

    def mark_never_ran(self, attempt_id: str, now: float) -> None:
        """Mark an attempt that ended without running and never will run.

        The gate calls this for an attempt that left the queue without being
        started, and for one that the upstream reported as not run.
        """
        if self._states_by_attempt.get(attempt_id) in _IN_FLIGHT:
            self._states_by_attempt[attempt_id] = _State.NEVER

    def resolve(
        self, attempt_id: str, incarnation: int, now: float
    ) -> Resolved:
        """Return the state of an attempt; `ResolvedNever` is final."""
        if incarnation not in self._incarnations:
            return ResolvedUnknown()
        current = self.epoch(now)
        state = self._states_by_attempt.get(attempt_id)
        if state is not None:
            return _resolution_for(state)
        epoch = parse_epoch(attempt_id)
        if not self._oldest_epoch <= epoch <= current:
            return ResolvedUnknown()
        self._record(attempt_id, epoch, _State.NEVER)
        return ResolvedNever()

    def _record(self, attempt_id: str, epoch: int, state: _State) -> None:
        self._states_by_attempt[attempt_id] = state
        self._attempts_by_epoch.setdefault(epoch, []).append(attempt_id)
        self._epoch_attempts += 1

    def _begin_epoch(self, now: float) -> None:
        self._epoch += 1
        self._epoch_end = now + MIN_EPOCH_S
        self._epoch_attempts = 0
        self._attempts_by_epoch.setdefault(self._epoch, [])
        while self._oldest_epoch <= self._epoch - RETAINED_EPOCHS:
            self._evict_epoch(self._oldest_epoch)
            self._oldest_epoch += 1

    def _evict_epoch(self, epoch: int) -> None:
        current_attempts = self._attempts_by_epoch[self._epoch]
        for attempt_id in self._attempts_by_epoch.pop(epoch):
            if self._states_by_attempt[attempt_id] in _IN_FLIGHT:
                current_attempts.append(attempt_id)
            else:
                self._states_by_attempt.pop(attempt_id)


def make_attempt_id(epoch: int, request_id: str, number: int) -> str:
    """Return the id of a new attempt, for the gate's current epoch."""
    return f'{epoch}.{request_id}.{number}'


def parse_epoch(attempt_id: str) -> int:
    """Return the epoch in an attempt id, or -1 if there is none."""
    head, _, rest = attempt_id.partition('.')
    if rest and head.isdecimal() and head.isascii():
        return int(head)
    return _NO_EPOCH


def _resolution_for(state: _State) -> Resolved:
    match state:
        case _State.QUEUED:
            return ResolvedQueued()
        case _State.RUNNING:
            return ResolvedRunning()
        case _State.FINISHED:
            return ResolvedFinished(answer_kept=False)
        case _State.ANSWERED:
            return ResolvedFinished(answer_kept=True)
        case _State.NEVER:
            return ResolvedNever()
