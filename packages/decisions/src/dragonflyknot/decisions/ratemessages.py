"""Events and commands of the rate machine in `quota`."""

from dataclasses import dataclass

from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, Spent


@dataclass(frozen=True, slots=True)
class Holder:
    """Describe a daemon that holds shards, and where it is."""

    host: str
    data_center: str
    region: str
    shards: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Spend:
    """Count a request against its workspace; wait no longer than `deadline`."""

    request_id: str
    workspace: str
    deadline: float


@dataclass(frozen=True, slots=True)
class SpendCancelled:
    """Forget a request that still waits for a token."""

    request_id: str
    workspace: str


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Return the token of a request that was refused as not run."""

    spent: Spent


@dataclass(frozen=True, slots=True)
class GrantAsked:
    """Receive a request for tokens, or a settlement, from another daemon."""

    request: GrantRequest


@dataclass(frozen=True, slots=True)
class GrantAnswered:
    """Receive a holder's answer; doubled and late ones do no harm."""

    answer: GrantAnswer


@dataclass(frozen=True, slots=True)
class GrantLost:
    """Learn that no answer will come for a request."""

    grant_id: str
    workspace: str


@dataclass(frozen=True, slots=True)
class Ticked:
    """Let time pass."""


@dataclass(frozen=True, slots=True)
class ConfigurationInstalled:
    """Go on with the limits of a new revision."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ShardGained:
    """Begin to mint for a shard, with empty buckets."""

    shard: int


@dataclass(frozen=True, slots=True)
class ShardLost:
    """Stop minting for a shard and drop its tokens."""

    shard: int


@dataclass(frozen=True, slots=True)
class LayoutConfirmed:
    """Learn that all shard rows name the layout with this digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Replace the time until which the own shards may be used."""

    until: float


@dataclass(frozen=True, slots=True)
class HoldersChanged:
    """Learn which daemons hold shards."""

    holders: tuple[Holder, ...]


RateEvent = (
    Spend
    | SpendCancelled
    | GiveBack
    | GrantAsked
    | GrantAnswered
    | GrantLost
    | Ticked
    | ConfigurationInstalled
    | ShardGained
    | ShardLost
    | LayoutConfirmed
    | LeaseExtended
    | HoldersChanged
)


@dataclass(frozen=True, slots=True)
class Admit:
    """Let a request run; it holds a token."""

    request_id: str
    spent: Spent


@dataclass(frozen=True, slots=True)
class RefuseRate:
    """Refuse a request as over its workspace's rate."""

    request_id: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AskGrant:
    """Send a request for tokens to a holder."""

    host: str
    request: GrantRequest


@dataclass(frozen=True, slots=True)
class AnswerGrant:
    """Answer the request that was just received."""

    answer: GrantAnswer


RateCommand = Admit | RefuseRate | AskGrant | AnswerGrant
