"""The state that the upstream of this host has announced.

Announcements may be late, duplicated, from an earlier start of the upstream
or from another writer. A later start supersedes an earlier one; within one
start, the higher sequence number wins.

A leaving is final: no announcement of a start that drains or has left makes
it ready again, whichever process, peer or row of the store knows of the
leaving, and whenever this one learns of it. The message may be the first one
that the daemon received of an upstream, and may not name the start that
leaves; `startevidence` then tells a new start from a late announcement.

What an earlier process of the host knew counts like an announcement received
before all others, since late ones may also arrive after a restart.
"""

from dataclasses import dataclass, replace

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.startevidence import StartEvidence
from dragonflyknot.decisions.upstreamdepartures import (
    Departure,
    Departures,
    departure_of,
    union,
)
from dragonflyknot.decisions.upstreammessages import Heartbeat, LeaveMessage


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

    @property
    def is_ready(self) -> bool:
        """Tell whether the upstream neither drains nor is gone."""
        return self.state is UpstreamState.READY


class UpstreamRegister:
    """Track the announcements of the one upstream of a host.

    `current` is the upstream in force, None if none has announced itself to
    this process. `departures` are those of all upstreams of the host.
    """

    def __init__(self, service: str, address: str) -> None:
        """Start without an upstream; accept only this service and address."""
        self._service = service
        self._address = address
        self._newest: Upstream | None = None
        self._evidence = StartEvidence()
        self.departures: Departures = ()
        self.current: Upstream | None = None

    @property
    def start_in_question(self) -> Heartbeat | None:
        """Return the heartbeat of a start that may have left, if any."""
        return self._evidence.newest

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
        if not upstream.is_ready:
            self._record(Departure(upstream.instance, upstream.born))
            self.current = upstream

    def restore(self, upstream: Upstream) -> bool:
        """Restore a stored state that a health check has confirmed.

        Return whether it was restored: not if an announcement came first, or
        if the upstream may have left.
        """
        if self.current is not None:
            return False
        departure = self._departure_of(upstream.instance)
        if departure is not None and departure.may_include(upstream.born):
            return False
        self._set_current(upstream)
        return True

    def learn(self, departures: Departures) -> bool:
        """Learn of departures; return whether `current` changed."""
        before = self.departures
        self.departures = union(before, departures)
        current = self.current
        if current is None or not current.is_ready:
            return False
        departure = self._departure_of(current.instance)
        if departure is None:
            return False
        known = departure_of(before, current.instance)
        heard_before_ms = 0 if known is None else known.heard_ms
        is_in_question = departure.heard_ms > heard_before_ms
        if not is_in_question and not departure.includes(current.born):
            return False
        self._set_current(_gone(current))
        return True

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return whether `current` changed."""
        if not self._is_addressed(heartbeat):
            return False
        is_ready = heartbeat.state is UpstreamState.READY
        newest = self._newest
        if not is_ready and not _is_outdated(heartbeat, newest):
            self._record(Departure(heartbeat.instance, heartbeat.born))
        if newest is not None and not _is_newer(heartbeat, newest):
            return False
        if is_ready and not self._may_be_used(heartbeat):
            return False
        return self._announce(heartbeat)

    def apply_leave(self, leaving: LeaveMessage) -> bool:
        """Apply a leave message; return whether `current` changed."""
        born = leaving.born or self._last_start_of(leaving.instance)
        self._record_leave(leaving, born)
        newest = self._newest
        if newest is None or born > newest.born:
            # A heartbeat of this start may arrive late.
            left = Upstream(leaving.instance, born, UpstreamState.GONE, 0)
            self._set_current(left)
            return True
        if newest.instance != leaving.instance or born < newest.born:
            return False
        if newest.state is UpstreamState.GONE:
            return False
        self._set_current(_gone(newest))
        return True

    def apply_health_check(
        self, asked: Heartbeat, instance: str | None
    ) -> bool:
        """Apply a health check made for a start in question.

        `instance` is the one that answered that it is healthy, None if none
        did. Return whether `current` changed.
        """
        self._evidence.add_health_check(asked, instance)
        heartbeat = self._evidence.newest
        if heartbeat is None:
            return False
        newest = self._newest
        if newest is not None and not _is_newer(heartbeat, newest):
            return False
        if not self._is_new_start(heartbeat):
            return False
        return self._announce(heartbeat)

    def signs_of_new_start(self) -> tuple[str, ...]:
        """Return the signs that the start in question is a new one."""
        heartbeat = self._evidence.newest
        if heartbeat is None:
            return ()
        departure = self._departure_of(heartbeat.instance)
        return () if departure is None else self._evidence.signs(departure)

    def _is_addressed(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.service != self._service:
            return False
        return not heartbeat.address or heartbeat.address == self._address

    def _announce(self, heartbeat: Heartbeat) -> bool:
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

    def _set_current(self, upstream: Upstream) -> None:
        self._evidence.clear()
        self._newest = upstream
        self.current = upstream

    def _record(self, departure: Departure) -> None:
        self.departures = union(self.departures, (departure,))

    def _record_leave(self, leaving: LeaveMessage, born: int) -> None:
        heard_ms = 0 if leaving.born else leaving.received_ms
        known = self._departure_of(leaving.instance)
        if known is not None and known.heard_ms and known.includes(born):
            # The message is repeated. To record the later time would be a
            # change that has to be stored before it can be acknowledged.
            heard_ms = 0
        self._record(Departure(leaving.instance, born, heard_ms))

    def _departure_of(self, instance: str) -> Departure | None:
        return departure_of(self.departures, instance)

    def _last_start_of(self, instance: str) -> int:
        """Return the latest start of an instance that was heard of, or 0."""
        newest, questioned = self._newest, self._evidence.newest
        born = 0
        if newest is not None and newest.instance == instance:
            born = newest.born
        if questioned is not None and questioned.instance == instance:
            born = max(born, questioned.born)
        return born

    def _may_be_used(self, heartbeat: Heartbeat) -> bool:
        """Tell whether an announced start is none that has left."""
        departure = self._departure_of(heartbeat.instance)
        if departure is None or self._is_in_force(heartbeat):
            return True
        if departure.heard_ms and not departure.includes(heartbeat.born):
            self._evidence.add_heartbeat(heartbeat)
        return self._is_new_start(heartbeat)

    def _is_new_start(self, heartbeat: Heartbeat) -> bool:
        """Tell whether an announced start is known to be no departed one."""
        departure = self._departure_of(heartbeat.instance)
        if departure is None:
            return True
        if departure.includes(heartbeat.born):
            return False
        return not departure.heard_ms or self._evidence.suffices(departure)

    def _is_in_force(self, heartbeat: Heartbeat) -> bool:
        current = self.current
        return (
            current is not None
            and current.is_ready
            and current.instance == heartbeat.instance
            and current.born == heartbeat.born
        )


def _gone(upstream: Upstream) -> Upstream:
    return replace(upstream, state=UpstreamState.GONE, sequence=-1)


def _is_outdated(heartbeat: Heartbeat, known: Upstream | None) -> bool:
    """Tell whether a start has said something else since."""
    return (
        known is not None
        and known.instance == heartbeat.instance
        and known.born == heartbeat.born
        and known.sequence >= heartbeat.sequence
    )


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
