"""Find the promises that a soak saw broken.

Each check returns a line for each fault that it finds.
"""

from collections.abc import Callable, Iterator

from soak.record import SERVICE, WORKSPACE, Record, Run, Sent

DRAIN_S = 2.0
MAX_UPSTREAMS = 2
DEADLINE_SLACK_MS = 500
REPEAT_RATIO = 0.2
REPEAT_SLACK = 30
WINDOW_S = 10
ROLLBACK_SLACK_S = 0.25
NOT_RUN = frozenset((408, 421, 429, 503))
GIVEN_UP = frozenset((502, 504))
# Part of its time after which a request may run out of it.
EARLY_SHARE = 0.7

Check = Callable[[Record], Iterator[str]]


def broken(record: Record) -> list[str]:
    """Return all that was broken."""
    return [fault for check in CHECKS for fault in check(record)]


def _at_most_once(record: Record) -> Iterator[str]:
    for request_id, runs in record.runs_by_id().items():
        sent = record.sent_by_id.get(request_id)
        if sent is None:
            yield f'{request_id} ran, but nobody sent it'
        elif sent.method == 'POST' and len(runs) > 1:
            hosts = [run.host for run in runs]
            yield f'booking {request_id} ran at {hosts}'


def _refusals_are_true(record: Record) -> Iterator[str]:
    runs_by_id = record.runs_by_id()
    for sent in record.sent_by_id.values():
        is_refused = sent.status in NOT_RUN and sent.method == 'POST'
        if is_refused and sent.request_id in runs_by_id:
            yield f'{sent.request_id} was answered {sent.status} and ran'


def _answers_are_whole(record: Record) -> Iterator[str]:
    for sent in record.sent_by_id.values():
        if sent.is_foreign:
            yield f'{sent.request_id} got an answer that is not its own'
        if sent.status == 200 and not sent.is_whole:
            yield f'{sent.request_id} got a part of an answer as whole'


def _keys_stay_here(record: Record) -> Iterator[str]:
    for run in record.runs:
        if 'key' in run.headers:
            yield f'{run.request_id} brought the key to {run.host}'
        if run.headers.get('tenant-id') != WORKSPACE:
            yield f'{run.request_id} ran for {run.headers.get("tenant-id")}'
        if run.headers.get('caller-service') != SERVICE:
            yield f'{run.request_id} ran without its caller'


def _deadlines_shrink(record: Record) -> Iterator[str]:
    for run in record.runs:
        sent = record.sent_by_id.get(run.request_id)
        if sent is None:
            continue
        given_ms = int(run.headers.get('request-deadline', '0'))
        if _waited_unread(record, sent, run):
            continue
        passed_ms = (run.began_at - sent.sent_at) * 1000
        if given_ms > sent.deadline_ms - passed_ms + DEADLINE_SLACK_MS:
            yield f'{run.request_id} was handed {given_ms} ms'


def _waited_unread(record: Record, sent: Sent, run: Run) -> bool:
    """Tell whether a host can't know how long the request waited."""
    return any(
        one.host in {sent.host, run.host}
        and one.began_at < run.began_at
        and sent.sent_at < one.ended_at
        for one in record.interruptions
    )


def _leaving_upstreams_rest(record: Record) -> Iterator[str]:
    for leaving in record.leavings:
        latest = leaving.acknowledged_at + DRAIN_S
        for run in record.runs:
            if run.instance == leaving.instance and run.began_at > latest:
                late_s = run.began_at - leaving.acknowledged_at
                yield f'{run.request_id} ran {late_s:.1f} s after a farewell'


def _repeats_are_bounded(record: Record) -> Iterator[str]:
    runs_by_id = record.runs_by_id()
    for request_id, runs in runs_by_id.items():
        if len({run.host for run in runs}) > MAX_UPSTREAMS:
            yield f'{request_id} ran at more than {MAX_UPSTREAMS} upstreams'
    began = sorted(run.began_at for run in _repeats(runs_by_id))
    for first in began:
        repeats = sum(first <= one < first + WINDOW_S for one in began)
        asked = max(
            _asked(record, first - back) for back in (0, WINDOW_S / 2, WINDOW_S)
        )
        if repeats > REPEAT_RATIO * asked + REPEAT_SLACK:
            yield f'{repeats} repeats for {asked} requests'


def _repeats(runs_by_id: dict[str, list[Run]]) -> Iterator[Run]:
    for runs in runs_by_id.values():
        yield from sorted(runs, key=lambda run: run.began_at)[1:]


def _asked(record: Record, first: float) -> int:
    return sum(
        first <= sent.sent_at < first + WINDOW_S
        for sent in record.sent_by_id.values()
    )


def _configuration_never_goes_back(record: Record) -> Iterator[str]:
    runs_by_id = record.runs_by_id()
    denied_at: dict[tuple[int, str], float] = {}
    for sent in sorted(record.sent_by_id.values(), key=_sent_at):
        seen = (sent.process, sent.key)
        withdrawn_at = record.withdrawn_at_by_key.get(sent.key)
        if withdrawn_at is None or sent.sent_at < withdrawn_at:
            continue
        if sent.status == 401:
            denied_at.setdefault(seen, sent.ended_at)
        elif sent.request_id in runs_by_id and seen in denied_at:
            if sent.sent_at > denied_at[seen] + ROLLBACK_SLACK_S:
                yield f'{sent.request_id} ran with a key withdrawn before'


def _sent_at(sent: Sent) -> float:
    return sent.sent_at


def _planned_stops_cut_nothing(record: Record) -> Iterator[str]:
    runs_by_id = record.runs_by_id()
    for stop in record.stops:
        for sent in record.sent_by_id.values():
            is_there = sent.process == stop.process and sent.status == 0
            if not is_there or sent.request_id not in runs_by_id:
                continue
            if stop.began_at < sent.ended_at < stop.ended_at:
                yield f'{sent.request_id} was cut off by a planned stop'


def _planned_stops_give_up_nothing(record: Record) -> Iterator[str]:
    runs_by_id = record.runs_by_id()
    for stop in record.stops:
        for sent in record.sent_by_id.values():
            is_failed = sent.status in GIVEN_UP
            if sent.process != stop.process or not is_failed:
                continue
            waited_ms = (sent.ended_at - sent.sent_at) * 1000
            if waited_ms > sent.deadline_ms * EARLY_SHARE:
                continue
            is_in_stop = stop.began_at < sent.ended_at < stop.ended_at
            if is_in_stop and sent.request_id in runs_by_id:
                yield f'{sent.request_id} was given up in a planned stop'


CHECKS: tuple[Check, ...] = (
    _at_most_once,
    _refusals_are_true,
    _answers_are_whole,
    _keys_stay_here,
    _deadlines_shrink,
    _leaving_upstreams_rest,
    _repeats_are_bounded,
    _configuration_never_goes_back,
    _planned_stops_cut_nothing,
    _planned_stops_give_up_nothing,
)
