"""Data types of the gossip-based membership protocol.

A `Member` is one daemon with its upstream. Its `Version` orders all statements
about it by incarnation, then counter, then standing. A suspicion therefore
overrides the statement that it refers to, and the suspected daemon refutes it
by raising its own counter.
"""

from dataclasses import dataclass
from enum import IntEnum, unique

from dragonflyknot.decisions.calls import LoadReport, UpstreamState
from dragonflyknot.decisions.document import NO_REVISION, Revision
from dragonflyknot.decisions.keyring import PeerFreshness

ALL_SERVICES = ''
"""Service name that stands for the members of all services."""


@unique
class Standing(IntEnum):
    """Status of a member; a higher one overrides at the same counter."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class Member:
    """Describe a daemon and its upstream.

    `incarnation` is assigned when the process starts. The daemon raises
    `counter` when the other daemons have to replace what they hold of it, and
    `beat` with each load report, which orders the reports. `revision` is the
    number of the document revision in force.
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
    """Order the statements about one member; the highest one wins."""

    incarnation: int
    counter: int
    standing: Standing


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """State which version of a member the sender holds."""

    host: str
    version: Version


@dataclass(frozen=True, slots=True)
class ViewDigest:
    """Hash of all live versions that the sender holds of a service."""

    service: str
    digest: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Message of one gossip exchange, either a request or a reply.

    `held` is the version of the receiver that the sender holds. `versions`
    lists the sender's versions if its digest differed from `view`. `wanted`
    names the hosts whose members the sender requests, and `lookups` the
    services of which it knows no member. `keys` states how fresh the sender's
    API keys are.
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
    """Report that time passed; expected every `TICK_S` seconds."""


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Report a message from a peer, to which a reply is due."""

    message: Gossip


@dataclass(frozen=True, slots=True)
class GossipReplied:
    """Report a peer's reply to a message of this daemon."""

    message: Gossip


@dataclass(frozen=True, slots=True)
class GossipFailed:
    """Report that a peer did not reply before the timeout."""

    host: str


@dataclass(frozen=True, slots=True)
class OwnChanged:
    """Report the state of this daemon's upstream and its revision in force."""

    service: str
    state: UpstreamState
    report: LoadReport | None
    revision: int


@dataclass(frozen=True, slots=True)
class ServiceFollowed:
    """Report that this daemon calls a service."""

    service: str


@dataclass(frozen=True, slots=True)
class ServiceUnfollowed:
    """Report that this daemon no longer calls a service."""

    service: str


@dataclass(frozen=True, slots=True)
class AddressesLearned:
    """Report gRPC addresses of daemons, from the settings or the table."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RevisionLearned:
    """Report a document revision that was accepted."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class DaemonStopping:
    """Report that this daemon is stopping."""


LocalEvent = (
    OwnChanged
    | ServiceFollowed
    | ServiceUnfollowed
    | AddressesLearned
    | RevisionLearned
    | DaemonStopping
)

MembershipEvent = (
    Ticked | GossipReceived | GossipReplied | GossipFailed | LocalEvent
)


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message; `host` is empty if only the address is known."""

    host: str
    address: str
    message: Gossip


@dataclass(frozen=True, slots=True)
class ReplyGossip:
    """Reply to the message that is being handled."""

    message: Gossip


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Notify that a member is new or changed."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberGone:
    """Notify that a member left, failed or is no longer kept."""

    host: str


@dataclass(frozen=True, slots=True)
class RevisionHeard:
    """Notify of a higher revision and of a host that has it."""

    revision: Revision
    host: str


@dataclass(frozen=True, slots=True)
class LookUpService:
    """Look up the addresses of a service's daemons in the table."""

    service: str


@dataclass(frozen=True, slots=True)
class IncarnationRaised:
    """Notify that this daemon took a higher incarnation.

    Peers held a higher one of an earlier process on the same host.
    """

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
    """Return the version of a member."""
    return Version(member.incarnation, member.counter, member.standing)
