"""The attempts that a gate has seen, with a binding answer about each.

An attempt is addressed to an incarnation of a gate and its id starts with
the ledger epoch that the edge last heard from that gate (see
`name_attempt`). An epoch lasts some seconds on the gate's own clock, longer
while few attempts come, and less when it has filled up. So no clocks are
compared, memory is bounded, and edges that speak to a quiet gate now and
then still know an epoch that it accepts:

* an attempt of an epoch that is still accepted runs at most once;
* an attempt of an older epoch that is still kept is refused, and as the
  ledger still knows all attempts of that epoch, the refusal is binding;
* of an epoch below the floor nothing is known, so nothing of it is ever
  accepted again. An attempt once resolved as never run therefore stays so.
"""

from dataclasses import dataclass
from enum import Enum, unique

EPOCH_S = 10.0
ACCEPTED_EPOCHS = 6
KEPT_EPOCHS = 12
QUIET_EPOCH_ATTEMPTS = 256
FULL_EPOCH_ATTEMPTS = 8192
_NO_EPOCH = -1


@dataclass(frozen=True, slots=True)
class Accepted:
    """Let the attempt into the queue; it was not seen before."""


@dataclass(frozen=True, slots=True)
class WrongIncarnation:
    """Refuse an attempt meant for an earlier process; it was not run."""


@dataclass(frozen=True, slots=True)
class Revoked:
    """Refuse an attempt that is bound never to run; it was not run."""


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Refuse an attempt that was seen before or is too old to know of.

    The outcome of the attempt is unknown to the sender of the duplicate.
    """


Offered = Accepted | WrongIncarnation | Revoked | Duplicate


@dataclass(frozen=True, slots=True)
class ResolvedNever:
    """Promise that the attempt did not run and never will."""


@dataclass(frozen=True, slots=True)
class ResolvedQueued:
    """Tell that the attempt still waits in the queue."""


@dataclass(frozen=True, slots=True)
class ResolvedRunning:
    """Tell that the upstream is working on the attempt."""


@dataclass(frozen=True, slots=True)
class ResolvedFinished:
    """Tell that the attempt ran, and whether its answer is kept."""

    answer_kept: bool


@dataclass(frozen=True, slots=True)
class ResolvedUnknown:
    """Tell that this process cannot know whether the attempt ran."""


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
    """Remember every attempt of the current and the latest epochs."""

    def __init__(
        self, incarnation: int, full_epoch: int = FULL_EPOCH_ATTEMPTS
    ) -> None:
        """Start empty; `full_epoch` bounds the attempts of an epoch."""
        self.incarnation = incarnation
        self._full_epoch = full_epoch
        self._quiet_epoch = min(QUIET_EPOCH_ATTEMPTS, full_epoch)
        self._incarnations = {incarnation}
        self._states_by_attempt: dict[str, _State] = {}
        self._attempts_by_epoch: dict[int, list[str]] = {0: []}
        self._epoch = 0
        self._floor = 0
        self._epoch_end: float | None = None
        self._recorded = 0

    def __len__(self) -> int:
        """Return the number of attempts that are remembered."""
        return len(self._states_by_attempt)

    def adopt(self, incarnation: int) -> None:
        """Answer to a further incarnation of this same process."""
        self.incarnation = incarnation
        self._incarnations.add(incarnation)

    def epoch(self, now: float) -> int:
        """Return the epoch that senders put into their attempt ids."""
        if self._epoch_end is None:
            self._epoch_end = now + EPOCH_S
        full = self._recorded >= self._full_epoch
        ended = now >= self._epoch_end and self._recorded >= self._quiet_epoch
        if full or ended:
            self._advance(now)
        return self._epoch

    def offer(self, attempt_id: str, incarnation: int, now: float) -> Offered:
        """Decide whether an arriving attempt may enter the queue."""
        if incarnation not in self._incarnations:
            return WrongIncarnation()
        current = self.epoch(now)
        state = self._states_by_attempt.get(attempt_id)
        if state is _State.NEVER:
            return Revoked()
        epoch = epoch_of(attempt_id)
        age = current - epoch
        if state is not None or epoch < self._floor or age < -KEPT_EPOCHS:
            return Duplicate()
        if age >= ACCEPTED_EPOCHS:
            return Revoked()
        if age < 0:
            # The edge still knew the epoch of an earlier process.
            self._record(attempt_id, epoch, _State.NEVER)
            return Revoked()
        self._record(attempt_id, epoch, _State.QUEUED)
        return Accepted()

    def started(self, attempt_id: str, now: float) -> bool:
        """Note that the upstream gets the attempt; false forbids it."""
        if self._states_by_attempt.get(attempt_id) is not _State.QUEUED:
            return False
        self._states_by_attempt[attempt_id] = _State.RUNNING
        return True

    def finished(self, attempt_id: str, answer_kept: bool, now: float) -> None:
        """Note that the attempt ran or may have run."""
        if self._states_by_attempt.get(attempt_id) in _IN_FLIGHT:
            self._states_by_attempt[attempt_id] = (
                _State.ANSWERED if answer_kept else _State.FINISHED
            )

    def answer_dropped(self, attempt_id: str) -> None:
        """Note that the answer of a finished attempt is no longer kept."""
        if self._states_by_attempt.get(attempt_id) is _State.ANSWERED:
            self._states_by_attempt[attempt_id] = _State.FINISHED

    def never_ran(self, attempt_id: str, now: float) -> None:
        """Note that the attempt ended without running, for good.

        The gate calls this for an attempt that left the queue unserved, and
        for one that the upstream itself answered as not run.
        """
        if self._states_by_attempt.get(attempt_id) in _IN_FLIGHT:
            self._states_by_attempt[attempt_id] = _State.NEVER

    def resolve(
        self, attempt_id: str, incarnation: int, now: float
    ) -> Resolved:
        """Answer what became of an attempt; *never* binds from now on."""
        if incarnation not in self._incarnations:
            return ResolvedUnknown()
        current = self.epoch(now)
        state = self._states_by_attempt.get(attempt_id)
        if state is not None:
            return _answer_for(state)
        epoch = epoch_of(attempt_id)
        if not self._floor <= epoch <= current:
            return ResolvedUnknown()
        self._record(attempt_id, epoch, _State.NEVER)
        return ResolvedNever()

    def _record(self, attempt_id: str, epoch: int, state: _State) -> None:
        self._states_by_attempt[attempt_id] = state
        self._attempts_by_epoch.setdefault(epoch, []).append(attempt_id)
        self._recorded += 1

    def _advance(self, now: float) -> None:
        self._epoch += 1
        self._epoch_end = now + EPOCH_S
        self._recorded = 0
        self._attempts_by_epoch.setdefault(self._epoch, [])
        while self._floor <= self._epoch - KEPT_EPOCHS:
            self._forget(self._floor)
            self._floor += 1

    def _forget(self, epoch: int) -> None:
        carried = self._attempts_by_epoch[self._epoch]
        for attempt_id in self._attempts_by_epoch.pop(epoch):
            if self._states_by_attempt[attempt_id] in _IN_FLIGHT:
                carried.append(attempt_id)
            else:
                self._states_by_attempt.pop(attempt_id)


def name_attempt(epoch: int, request_id: str, number: int) -> str:
    """Return the id of a new attempt addressed to a gate in that epoch."""
    return f'{epoch}.{request_id}.{number}'


def epoch_of(attempt_id: str) -> int:
    """Return the epoch inside an attempt id, or -1 without one."""
    head, _, rest = attempt_id.partition('.')
    if rest and head.isdecimal() and head.isascii():
        return int(head)
    return _NO_EPOCH


def _answer_for(state: _State) -> Resolved:
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
