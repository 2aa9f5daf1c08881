"""Decide with the other hosts of the region who follows the store.

Each host asks the nearest one before it in the order of hosts at short
intervals; see `decisions.followers`. A host whose own status has changed
tells the next one, which asks at once. All messages tell the version of the
configuration as well, so that a host that missed one hears of it.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Final, Protocol

import structlog

from dragonflyknot.daemon.peergossip import PeerGossip
from dragonflyknot.daemon.sitesettings import SiteSettings
from dragonflyknot.daemon.tasks import jittered
from dragonflyknot.decisions.candidates import Place
from dragonflyknot.decisions.followers import FollowerChoice, FollowerCount
from dragonflyknot.decisions.hostorder import position_of
from dragonflyknot.decisions.siteview import SiteEntry, SiteView
from dragonflyknot.exchange.clientlink import LinkLost
from dragonflyknot.peers import followerwire
from dragonflyknot.peers.followerwire import FollowerStatus
from dragonflyknot.peers.sitelinks import PeerLinks

CHECK_INTERVAL_S: Final = 0.6
CHECK_TIMEOUT_S: Final = 0.3
LEAST_CHECK_INTERVAL_S: Final = 0.02
# How long a host counts as the next one after it has asked.
NEXT_VALID_S: Final = 2.0
# New hosts learn who precedes them before they follow.
FOLLOW_AFTER_S: Final = 2.5
ISOLATED_AFTER_S: Final = 5.0
# When the whole site starts, hosts find each other first. For so long the
# first ones in the order count as followers.
FIRST_START_S: Final = 6.0
FOLLOWING: Final = FollowerCount(following=1)
STARTING: Final = FollowerCount(starting=1)
NEITHER: Final = FollowerCount()
_log = structlog.get_logger(__name__)


class Policy(Protocol):
    """Know the configuration in force."""

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""


class StoreFollowing:
    """Tell whether this host follows the feeds of the store.

    `is_current` tells whether it follows all of them now, and `wake` is
    called when it has to begin.
    """

    def __init__(
        self,
        settings: SiteSettings,
        links: PeerLinks,
        policy: Policy,
        view: SiteView,
        gossip: PeerGossip,
        is_current: Callable[[], bool],
        wake: Callable[[], None],
    ) -> None:
        """Start without knowing who else follows."""
        self._host = settings.host
        self._links = links
        self._policy = policy
        self._view = view
        self._gossip = gossip
        self._is_current = is_current
        self._wake = wake
        self._choice = FollowerChoice(settings.host, settings.region)
        self._first_start_ends_at = (
            time.monotonic() + FIRST_START_S
            if settings.is_first_start
            else float('-inf')
        )
        self._settled_at = float('inf')
        self._is_chosen = False
        self._due = asyncio.Event()
        self._told: FollowerCount | None = None
        self._asked_at_by_host: dict[str, float] = {}

    @property
    def preceding(self) -> FollowerCount:
        """Return how many of the hosts before this one follow."""
        return self._choice.preceding or NEITHER

    @property
    def backoff_ratio(self) -> float:
        """Return how much longer than the first hosts this one rests.

        It does so while the store does not answer.
        """
        return self._choice.backoff_ratio()

    def settle(self) -> None:
        """Note that this process has learnt which hosts there are."""
        self._settled_at = time.monotonic()

    def is_follower(self) -> bool:
        """Tell whether this host has to follow the store.

        It does if it is one of the first hosts of its region, or if it hears
        from no peer.
        """
        now = time.monotonic()
        if now > self._gossip.heard_at + ISOLATED_AFTER_S:
            return True
        if self._is_new(now):
            return False
        return self._choice.choose(now)

    def answer(self, content: bytes) -> bytes:
        """Answer a host that asks, or that tells of its changed status."""
        received = followerwire.decode_status(content)
        if received is not None:
            self._gossip.learn_of(received.host, received.version)
            self._record_request(received.host)
        return followerwire.encode_status(self._status())

    def check_soon(self) -> None:
        """Ask the hosts before this one at once."""
        self._due.set()

    async def run(self) -> None:
        """Ask the hosts before this one until cancelled."""
        while True:
            await asyncio.sleep(LEAST_CHECK_INTERVAL_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(jittered(CHECK_INTERVAL_S)):
                    await self._due.wait()
            self._due.clear()
            await self._check()
            await self._tell_next()

    async def _check(self) -> None:
        preceding = await self._ask_preceding()
        self._choice.record_preceding(preceding, time.monotonic())
        is_chosen = self.is_follower()
        if is_chosen == self._is_chosen:
            return
        self._is_chosen = is_chosen
        _log.info(
            'follower_chosen',
            is_follower=is_chosen,
            following_before=preceding.following,
            starting_before=preceding.starting,
        )
        if is_chosen:
            self._wake()

    async def _tell_next(self) -> None:
        """Tell the next host in the order if the own status has changed."""
        next_host = self._next_host()
        status = self._status()
        told = None if status.count is None else status.count.essence()
        if told == self._told:
            return
        self._told = told
        entry = self._view.entries_by_host.get(next_host)
        if entry is not None:
            await self._send(entry.place)

    def _record_request(self, host: str) -> None:
        if position_of(host) < position_of(self._host):
            self.check_soon()
        else:
            self._asked_at_by_host[host] = time.monotonic()

    def _next_host(self) -> str:
        """Return the nearest host after this one that asked, or nothing."""
        oldest = time.monotonic() - NEXT_VALID_S
        self._asked_at_by_host = {
            host: asked_at
            for host, asked_at in self._asked_at_by_host.items()
            if asked_at > oldest
        }
        return min(self._asked_at_by_host, key=position_of, default='')

    async def _ask_preceding(self) -> FollowerCount:
        """Return how many hosts before this one follow.

        Nobody does if none of them answers.
        """
        entries = self._view.entries_by_host.values()
        for batch in self._choice.batches(entries, time.monotonic()):
            counts = await asyncio.gather(*(self._ask(one) for one in batch))
            known = [count for count in counts if count is not None]
            if known:
                return known[0]
        return NEITHER

    async def _ask(self, entry: SiteEntry) -> FollowerCount | None:
        """Return the count up to a host, None if it tells none."""
        place = entry.place
        status = await self._send(place)
        if status is None or status.host != place.host:
            self._choice.record_silence(place.host, time.monotonic())
            self._gossip.record_silence(place)
            return None
        self._choice.record_answer(place.host)
        self._gossip.record_answer(place)
        self._gossip.learn_of(status.host, status.version)
        return status.count

    async def _send(self, place: Place) -> FollowerStatus | None:
        """Return the status of whoever has the address, None without one."""
        content = followerwire.encode_status(self._status())
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                response = await self._links.ask(
                    place.address, followerwire.FOLLOWERS_PATH, content
                )
        except (LinkLost, TimeoutError):
            return None
        return followerwire.decode_status(response)

    def _status(self) -> FollowerStatus:
        now = time.monotonic()
        return FollowerStatus(
            self._host,
            self._policy.version,
            self._choice.count(self._own_count(now), now),
        )

    def _own_count(self, now: float) -> FollowerCount:
        if self._is_current() or now < self._first_start_ends_at:
            return FOLLOWING
        return STARTING if self._is_new(now) or self._is_chosen else NEITHER

    def _is_new(self, now: float) -> bool:
        return now < self._settled_at + FOLLOW_AFTER_S
