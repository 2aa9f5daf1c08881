"""Events and commands of the rate limiting state machine in `quota`."""

from dataclasses import dataclass

from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest, SpentToken


@dataclass(frozen=True, slots=True)
class Holder:
    """Describe a daemon that holds shards, and its location."""

    host: str
    data_center: str
    region: str
    shards: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Spend:
    """Spend a token for a request, which waits until `deadline` at most."""

    request_id: str
    workspace: str
    deadline: float


@dataclass(frozen=True, slots=True)
class SpendCancelled:
    """Drop a request that still waits for a token."""

    request_id: str
    workspace: str


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Return the token of a request that was not run."""

    spent: SpentToken


@dataclass(frozen=True, slots=True)
class GrantRequested:
    """Report a grant request or a settlement of another daemon."""

    request: GrantRequest


@dataclass(frozen=True, slots=True)
class GrantAnswered:
    """Report the answer of a holder; duplicate and late ones are harmless."""

    answer: GrantAnswer


@dataclass(frozen=True, slots=True)
class GrantRequestLost:
    """Report that a grant request will not be answered."""

    grant_id: str
    workspace: str


@dataclass(frozen=True, slots=True)
class Ticked:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True)
class ConfigurationInstalled:
    """Apply the limits of a new revision."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ShardGained:
    """Start to issue the tokens of a shard, with empty buckets."""

    shard: int


@dataclass(frozen=True, slots=True)
class ShardLost:
    """Stop issuing the tokens of a shard and drop those that are left."""

    shard: int


@dataclass(frozen=True, slots=True)
class LayoutConfirmed:
    """Report that all shard rows name the layout with this digest."""

    digest: str


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Set the time until which the held shards may be used."""

    until: float


@dataclass(frozen=True, slots=True)
class HoldersChanged:
    """Report which daemons hold shards."""

    holders: tuple[Holder, ...]


RateEvent = (
    Spend
    | SpendCancelled
    | GiveBack
    | GrantRequested
    | GrantAnswered
    | GrantRequestLost
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
    """Admit a request, for which a token was spent."""

    request_id: str
    spent: SpentToken


@dataclass(frozen=True, slots=True)
class RefuseRate:
    """Refuse a request that exceeds the rate of its workspace."""

    request_id: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AskGrant:
    """Send a grant request to a holder."""

    host: str
    request: GrantRequest


@dataclass(frozen=True, slots=True)
class AnswerGrant:
    """Answer the grant request that was just received."""

    answer: GrantAnswer


RateCommand = Admit | RefuseRate | AskGrant | AnswerGrant
