"""Send the figures of the daemon to statsd, once a second.

Counters are sent as differences since the last time; gauges as they are.
docs/operations/metrics.md explains every name.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from types import TracebackType
from typing import Final

import statsd

from dragonflyknot.daemon.settings import split_address
from dragonflyknot.exchange.tally import Tally

SEND_EVERY_S: Final = 1.0
PREFIX: Final = 'dragonflyknot'

ADMITTED: Final = 'admitted'
ANSWERED: Final = 'answered'
REFUSED: Final = 'refused'
GATE_REFUSED: Final = 'gate.refused'
RETRIES: Final = 'retries'
RESOLVES: Final = 'resolves'
BROKEN_ANSWERS: Final = 'broken_answers'
CANCELLED: Final = 'cancelled'
IN_FLIGHT: Final = 'in_flight'
MEMBERS: Final = 'members'
REVISION: Final = 'revision'
KEY_AGE_MS: Final = 'key_age_ms'
LINK_BYTES: Final = 'link_bytes'

_OPEN_NAME: Final = '_open'


@dataclass(frozen=True, slots=True)
class Gauge:
    """Hold one value under its metric name."""

    name: str
    number: float


class Metrics:
    """Send counters and gauges while the context is open."""

    def __init__(
        self,
        address: str,
        tally: Tally,
        gauges: Callable[[], list[Gauge]],
    ) -> None:
        """Send to an address (IP:port), or nowhere where it is empty."""
        self._tally = tally
        self._gauges = gauges
        self._sent: Counter[str] = Counter()
        self._client: statsd.StatsClient | None = None
        self._task: asyncio.Task[None] | None = None
        if address:
            number, port = split_address(address)
            self._client = statsd.StatsClient(number, port, prefix=PREFIX)

    async def __aenter__(self) -> 'Metrics':
        """Begin to send."""
        if self._client is not None:
            self._task = asyncio.create_task(self._send_always(self._client))
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Send a last time and stop."""
        if self._task is not None:
            self._task.cancel()
        if self._client is not None:
            self._send(self._client)
            self._client.close()

    async def _send_always(self, client: statsd.StatsClient) -> None:
        while True:
            await asyncio.sleep(SEND_EVERY_S)
            self._send(client)

    def _send(self, client: statsd.StatsClient) -> None:
        with client.pipeline() as pipeline:
            for name, count in counts_by_name(self._tally).items():
                grown = count - self._sent[name]
                if grown:
                    pipeline.incr(name, grown)
                self._sent[name] = count
            for gauge in self._gauges():
                pipeline.gauge(gauge.name, gauge.number)


def counts_by_name(tally: Tally) -> Counter[str]:
    """Return every counter under its metric name."""
    return Counter(dict(_counts(tally)))


def _counts(tally: Tally) -> Iterator[tuple[str, int]]:
    for workspace, admitted in tally.admitted_by_workspace.items():
        yield f'{ADMITTED}.{workspace or _OPEN_NAME}', admitted
    for workspace, answered in tally.answered_by_workspace.items():
        yield f'{ANSWERED}.{workspace or _OPEN_NAME}', answered
    for key, refused in tally.refused_by_workspace.items():
        place = key.workspace or _OPEN_NAME
        yield f'{REFUSED}.{key.refusal.value}.{place}', refused
    for kind, refused in tally.gate_refused_by_kind.items():
        yield f'{GATE_REFUSED}.{kind.value}', refused
    yield RETRIES, tally.retries
    yield RESOLVES, tally.resolves
    yield BROKEN_ANSWERS, tally.broken_answers
    yield CANCELLED, tally.cancelled
