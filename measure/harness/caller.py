"""A stand-in for callers: sends tagged requests and checks the answers."""

import hashlib
import json
import uuid
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import aiohttp

from dragonflyknot.decisions import headers as names
from harness.upstream import DEEPER, TAG

TOTAL_TIMEOUT_S = 60


@dataclass(frozen=True, slots=True)
class Shot:
    """Describe one request; `deeper` lists the paths of deeper calls."""

    method: str
    path: str
    body: bytes = b''
    once: bool = False
    deeper: tuple[str, ...] = ()
    timeout_ms: int | None = None
    tag: str = field(default_factory=lambda: uuid.uuid4().hex)


@dataclass(frozen=True, slots=True)
class ShotResult:
    """Say how a request ended; `kind` is empty for an answer."""

    tag: str
    status: int
    kind: str = ''
    outcome: str = ''
    is_whole: bool = False
    is_torn: bool = False
    retry_after_s: float = 0


@dataclass(slots=True)
class CallerFigures:
    """Sum up the results of many requests."""

    sent: int = 0
    whole: int = 0
    torn: int = 0
    refused_by_kind: Counter[str] = field(default_factory=Counter)
    results: list[ShotResult] = field(default_factory=list)
    once_tags: set[str] = field(default_factory=set)

    def expect(self, shots: Iterable[Shot]) -> None:
        """Note which requests may run at most once."""
        self.once_tags.update(shot.tag for shot in shots if shot.once)

    def add(self, result: ShotResult) -> None:
        """Count one result."""
        self.sent += 1
        self.whole += result.is_whole
        self.torn += result.is_torn
        if result.kind:
            self.refused_by_kind[result.kind] += 1
        self.results.append(result)


async def shoot(
    session: aiohttp.ClientSession, edge: str, key: str, shot: Shot
) -> ShotResult:
    """Send one request to an edge (IP:port) and judge its answer."""
    head = {names.AUTHORIZATION: f'Bearer {key}', TAG: shot.tag}
    if not key:
        head.pop(names.AUTHORIZATION)
    if shot.once:
        head[names.IDEMPOTENCY_KEY] = shot.tag
    if shot.deeper:
        head[DEEPER] = ','.join(shot.deeper)
    if shot.timeout_ms is not None:
        head[names.REQUEST_TIMEOUT] = str(shot.timeout_ms)
    try:
        async with session.request(
            shot.method,
            f'http://{edge}{shot.path}',
            headers=head,
            data=shot.body or None,
            timeout=aiohttp.ClientTimeout(total=TOTAL_TIMEOUT_S),
        ) as answer:
            body = await answer.read()
            return _judge(shot, answer, body)
    except aiohttp.ClientPayloadError:
        return ShotResult(shot.tag, 0, 'broken-body')
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return ShotResult(shot.tag, 0, type(error).__name__)


def _judge(
    shot: Shot, answer: aiohttp.ClientResponse, body: bytes
) -> ShotResult:
    outcome = answer.headers.get(names.OUTCOME, '')
    if outcome:
        refusal = json.loads(body)
        return ShotResult(
            shot.tag,
            answer.status,
            refusal['kind'],
            outcome,
            retry_after_s=refusal['retry_after_ms'] / 1000,
        )
    is_whole = _is_whole(shot, answer, body)
    return ShotResult(
        shot.tag,
        answer.status,
        kind='' if is_whole else f'status-{answer.status}',
        is_whole=is_whole,
        is_torn=answer.status == 200 and not is_whole,
    )


def _is_whole(shot: Shot, answer: aiohttp.ClientResponse, body: bytes) -> bool:
    if answer.status != 200:
        return False
    if shot.path.startswith('/reels'):
        return (
            answer.headers.get(TAG) == shot.tag
            and len(body) == answer.content_length
        )
    content = json.loads(body)
    return bool(
        content['tag'] == shot.tag
        and content['received'] == len(shot.body)
        and content['sha256'] == hashlib.sha256(shot.body).hexdigest()
    )
