"""What daemons tell each other about who is there.

A `Member` is one daemon with its upstream. Its version orders everything
that is said about it: incarnation, then counter, then standing, so that a
suspicion outdoes the claim that it refers to and a counter that the daemon
itself raised outdoes the suspicion.
"""

from dataclasses import dataclass
from enum import IntEnum, unique

from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import NO_REVISION, Revision
from dragonflyknot.decisions.keyring import PeerFreshness

ALL_SERVICES = ''
"""The view of a daemon that keeps every member."""


@unique
class Standing(IntEnum):
    """Order what is held of a member at one counter."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class Member:
    """Describe a daemon; `beat` orders its reports, `revision` is in force.

    `incarnation` is drawn at the start of the process; the daemon raises
    `counter` when what others hold of it has to change.
    """

    host: str
    incarnation: int
    counter: int
    data_center: str
    region: str
    peers_http: str
    peers_grpc: str
    service: str
    state: UpstreamState
    report: LoadReport | None = None
    revision: int = 0
    beat: int = 0
    standing: Standing = Standing.ALIVE
    operators: str = ''


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Order what is said about one member; a higher one wins."""

    incarnation: int
    counter: int
    standing: Standing


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """Tell which version of a member the sender holds."""

    host: str
    version: Version


@dataclass(frozen=True, slots=True)
class ViewDigest:
    """Sum up all versions that the sender holds of a service."""

    service: str
    digest: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carry one exchange between two daemons, in either direction.

    `held` is what the sender holds of the receiver. `versions` answers a
    view that differs, `wanted` names members to be sent in return, and
    `lookups` names services of which the sender knows no member.
    """

    sender: Member
    members: tuple[Member, ...] = ()
    held: Version | None = None
    view: ViewDigest | None = None
    versions: tuple[HeldVersion, ...] = ()
    wanted: tuple[str, ...] = ()
    lookups: tuple[str, ...] = ()
    revision: Revision = NO_REVISION
    keys: PeerFreshness | None = None


@dataclass(frozen=True, slots=True)
class Ticked:
    """Let time pass; due at least every `TICK_S` seconds."""


@dataclass(frozen=True, slots=True)
class GossipAsked:
    """Report a message that a peer sent and wants answered."""

    message: Gossip


@dataclass(frozen=True, slots=True)
class GossipAnswered:
    """Report a peer's answer to a message that was sent."""

    message: Gossip


@dataclass(frozen=True, slots=True)
class GossipFailed:
    """Report that a peer did not answer in time."""

    host: str


@dataclass(frozen=True, slots=True)
class OwnChanged:
    """Report the daemon's own upstream and revision in force."""

    service: str
    state: UpstreamState
    report: LoadReport | None
    revision: int


@dataclass(frozen=True, slots=True)
class ServiceFollowed:
    """Report that this daemon calls the service."""

    service: str


@dataclass(frozen=True, slots=True)
class ServiceUnfollowed:
    """Report that this daemon no longer calls the service."""

    service: str


@dataclass(frozen=True, slots=True)
class AddressesLearned:
    """Report gRPC addresses of daemons from settings or the table."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RevisionLearned:
    """Report a revision of the document that was accepted."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Left:
    """Report that this daemon stops."""


OwnEvent = (
    OwnChanged
    | ServiceFollowed
    | ServiceUnfollowed
    | AddressesLearned
    | RevisionLearned
    | Left
)

MembershipEvent = (
    Ticked | GossipAsked | GossipAnswered | GossipFailed | OwnEvent
)


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message; `host` is empty while only the address is known."""

    host: str
    address: str
    message: Gossip


@dataclass(frozen=True, slots=True)
class ReplyGossip:
    """Answer the message that is being handled."""

    message: Gossip


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Tell that a member is new or changed."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberGone:
    """Tell that a member left, fell silent or is no longer followed."""

    host: str


@dataclass(frozen=True, slots=True)
class RevisionHeard:
    """Tell that a higher revision exists and who knows it."""

    revision: Revision
    host: str


@dataclass(frozen=True, slots=True)
class LookUpService:
    """Ask the table for addresses of daemons of a service."""

    service: str


@dataclass(frozen=True, slots=True)
class IncarnationRaised:
    """Tell that an earlier process of this host had a higher incarnation."""

    incarnation: int


MembershipCommand = (
    SendGossip
    | ReplyGossip
    | MemberChanged
    | MemberGone
    | RevisionHeard
    | LookUpService
    | IncarnationRaised
)


def version_of(member: Member) -> Version:
    """Return the version of what is said about a member."""
    return Version(member.incarnation, member.counter, member.standing)
