"""The state that the upstream of this host has announced.

Announcements may be late, duplicated, from an earlier start of the upstream
or from another writer. A later start supersedes an earlier one; within one
start, the higher sequence number wins. After an upstream has left, no
announcement of the same start revives it, even if the leave message was the
first announcement that the daemon received.

What an earlier process of the host knew counts like an announcement received
before all others, since late ones may also arrive after a restart.
"""

from dataclasses import dataclass
from typing import Final

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage

MAX_DEPARTURES: Final = 100


@dataclass(frozen=True, slots=True)
class Upstream:
    """Hold the state of the upstream of this host.

    `sequence` is that of the heartbeat that announced it, or -1.
    """

    instance: str
    born: int
    state: UpstreamState
    slots: int
    sequence: int = -1


class UpstreamRegister:
    """Track the announcements of the one upstream of a host.

    `current` is the upstream in force, None if none has announced itself to
    this process.
    """

    def __init__(self, service: str, address: str) -> None:
        """Start without an upstream; accept only this service and address."""
        self._service = service
        self._address = address
        self._departed_born_by_instance: dict[str, int] = {}
        self._newest: Upstream | None = None
        self.current: Upstream | None = None

    def serves(self, service: str) -> bool:
        """Tell whether the upstream serves a service."""
        return service == self._service

    def record_earlier(self, upstream: Upstream) -> None:
        """Record the state that an earlier process of this host knew.

        Only newer announcements are applied from now on. A leaving upstream is
        in force at once, a ready one after it has announced itself or was
        restored.
        """
        if self._newest is not None:
            return
        self._newest = upstream
        if upstream.state is not UpstreamState.READY:
            self.current = upstream

    def restore(self, upstream: Upstream) -> bool:
        """Restore a stored state unless an announcement came first.

        Return whether the state was restored.
        """
        if self.current is not None or self._has_left(upstream):
            return False
        self._set_current(upstream)
        return True

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return whether the state changed."""
        if heartbeat.service != self._service:
            return False
        if heartbeat.address and heartbeat.address != self._address:
            return False
        newest = self._newest
        if newest is not None and not _is_newer(heartbeat, newest):
            return False
        if self._has_left(heartbeat):
            return False
        changed = Upstream(
            heartbeat.instance,
            heartbeat.born,
            heartbeat.state,
            heartbeat.slots,
            heartbeat.sequence,
        )
        before = self.current
        self._set_current(changed)
        return before is None or _differs(before, changed)

    def apply_leave(self, leaving: LeaveMessage) -> bool:
        """Apply a leave message; return whether the state changed."""
        newest = self._newest
        if newest is None or leaving.born > newest.born:
            # No heartbeat of this start has arrived yet; one may arrive late.
            self._set_current(_gone(leaving.instance, leaving.born, 0))
            return True
        if newest.instance != leaving.instance:
            self._record_departure(leaving)
            return False
        if 0 < leaving.born < newest.born:
            return False
        if newest.state is UpstreamState.GONE:
            return False
        self._set_current(_gone(newest.instance, newest.born, newest.slots))
        return True

    def _set_current(self, upstream: Upstream) -> None:
        self._newest = upstream
        self.current = upstream

    def _record_departure(self, leaving: LeaveMessage) -> None:
        if len(self._departed_born_by_instance) >= MAX_DEPARTURES:
            oldest = next(iter(self._departed_born_by_instance))
            self._departed_born_by_instance.pop(oldest)
        self._departed_born_by_instance[leaving.instance] = leaving.born

    def _has_left(self, announced: Heartbeat | Upstream) -> bool:
        departed_born = self._departed_born_by_instance.get(announced.instance)
        return departed_born is not None and announced.born <= departed_born


def _gone(instance: str, born: int, slots: int) -> Upstream:
    return Upstream(instance, born, UpstreamState.GONE, slots)


def _is_newer(heartbeat: Heartbeat, known: Upstream) -> bool:
    if heartbeat.born != known.born:
        return heartbeat.born > known.born
    if heartbeat.instance != known.instance:
        return heartbeat.sequence > known.sequence
    if known.state is UpstreamState.GONE:
        return False
    return heartbeat.sequence > known.sequence


def _differs(known: Upstream, changed: Upstream) -> bool:
    return (
        known.instance != changed.instance
        or known.born != changed.born
        or known.state is not changed.state
        or known.slots != changed.slots
    )
