"""Serve readiness, figures and the state dump of a site's daemon."""

import json
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, Final

from dragonflyknot.decisions.candidates import Load
from dragonflyknot.exchange import telemetry
from dragonflyknot.exchange.serverrequest import Request

if TYPE_CHECKING:
    from dragonflyknot.daemon.sitehost import SiteHost

_TEXT: Final = b'Content-Type: text/plain; version=0.0.4\r\n'
_JSON: Final = b'Content-Type: application/json\r\n'


class SiteAdmin:
    """Answer operators."""

    def __init__(self, host: 'SiteHost') -> None:
        """Keep the daemon that is shown."""
        self._host = host

    async def serve(self, request: Request) -> None:
        """Serve one request of an operator."""
        match request.target:
            case b'/metrics':
                request.respond(200, (_TEXT,), self.figures().encode())
            case b'/state':
                request.respond(
                    200, (_JSON,), json.dumps(self.state()).encode()
                )
            case _:
                message = b'use /metrics or /state\n'
                request.respond(404, (_TEXT,), message)

    def figures(self) -> str:
        """Return the counters and histograms as text."""
        return ''.join(f'{line}\n' for line in self._lines())

    def state(self) -> dict[str, Any]:
        """Return what this daemon knows and believes."""
        host = self._host
        load = host.load()
        upstream = host.register.current
        now = time.monotonic()
        return {
            'host': host.settings.host,
            'is_ready': host.is_ready,
            'not_ready_reason': host.not_ready_reason,
            'version': host.policy.version,
            'is_current': host.policy.is_current,
            'is_following': host.policy.is_following,
            'upstream': None if upstream is None else upstream.instance,
            'state': load.state.value,
            'slots': load.slots,
            'running': load.running,
            'waiting': load.waiting,
            'candidates': [
                {
                    'host': one.place.host,
                    'service': one.place.service,
                    'state': one.place.state.value,
                    'own': one.in_flight,
                    'failing': round(one.failing.value(now), 3),
                    'lateness': round(one.lateness.value(now), 3),
                    'rests_s': round(max(0, one.backoff_until - now), 3),
                }
                for one in host.balancer.candidates()
            ],
        }

    def _lines(self) -> Iterator[str]:
        host = self._host
        counts = host.counts
        load = host.load()
        for status, count in sorted(counts.answered_by_status.items()):
            yield f'dragonflyknot_answered{{status="{status}"}} {count}'
        for kind, count in sorted(counts.refused_by_kind.items()):
            yield f'dragonflyknot_refused{{kind="{kind}"}} {count}'
        for basis, count in host.rates.admitted_by_basis.items():
            yield (
                f'dragonflyknot_rate_admitted{{basis="{basis.value}"}} {count}'
            )
        yield (
            f'dragonflyknot_meter_reporting_hosts {host.rates.reporting_hosts}'
        )
        for action, count in sorted(counts.late_by_action.items()):
            yield f'dragonflyknot_late_attempts{{action="{action}"}} {count}'
        yield f'dragonflyknot_cancelled {counts.cancelled}'
        yield f'dragonflyknot_log_lines_dropped {counts.log.dropped}'
        yield f'dragonflyknot_in_flight {host.in_flight}'
        yield f'dragonflyknot_body_bytes {host.memory.held_bytes}'
        closed = host.memory.closed_links
        yield f'dragonflyknot_links_closed_for_room {closed}'
        yield from _load_lines(load)
        yield from self._site_lines()
        yield from self._usage_lines()
        yield from _histogram(counts.latency)

    def _usage_lines(self) -> Iterator[str]:
        store, links = self._host.platform.store, self._host.links
        for kind, calls in sorted(store.calls_by_kind.items()):
            yield f'dragonflyknot_store_calls{{kind="{kind}"}} {calls}'
        for path, exchanged in sorted(links.bytes_by_kind.items()):
            yield f'dragonflyknot_peer_bytes{{kind="{path}"}} {exchanged}'

    def _site_lines(self) -> Iterator[str]:
        policy = self._host.policy
        members = self._host.members
        yield f'dragonflyknot_members {len(members.entries())}'
        yield f'dragonflyknot_following {int(policy.is_following)}'
        preceding = members.following.preceding.following
        yield f'dragonflyknot_preceding_followers {preceding}'
        yield f'dragonflyknot_store_reachable {int(members.has_store)}'
        yield f'dragonflyknot_heard_from_peers_s {members.silent_s:.3f}'
        yield f'dragonflyknot_configuration_version {policy.version}'
        yield f'dragonflyknot_configurations_refused {policy.refused}'
        unknown_words = len(policy.unknown_words)
        yield f'dragonflyknot_configuration_unknown_words {unknown_words}'


def _load_lines(load: Load) -> Iterator[str]:
    yield f'dragonflyknot_gate_running {load.running}'
    yield f'dragonflyknot_gate_waiting {load.waiting}'
    yield f'dragonflyknot_gate_slots {load.slots}'


def _histogram(histogram: telemetry.Histogram) -> Iterator[str]:
    total = 0
    for bound, count in zip(
        telemetry.LATENCY_BUCKETS_S, histogram.counts, strict=False
    ):
        total += count
        yield f'dragonflyknot_request_seconds_bucket{{le="{bound}"}} {total}'
    total += histogram.counts[-1]
    yield f'dragonflyknot_request_seconds_bucket{{le="+Inf"}} {total}'
    yield f'dragonflyknot_request_seconds_sum {histogram.total_s:.3f}'
    yield f'dragonflyknot_request_seconds_count {total}'
