"""Encodes the messages between gateways as datagrams.

A datagram is one thrift frame, whose topic tells the kind of message; its body
is compressed JSON.
"""

import json
import zlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._beats import (
    Beat,
    OrdersGiven,
    Probe,
    ProbeAnswer,
    Report,
    RowsLacking,
    StoreSeen,
    Summary,
)
from bramleybeam.gateway._loads import LoadReport
from bramleybeam.gateway._placement import (
    Mark,
    PlacedHoldings,
    PlacementNews,
)
from bramleybeam.gateway._tree import PlannerSeen
from bramleybeam.gateway._wants import Wants
from bramleybeam.links import (
    Frame,
    FrameDecoder,
    FrameError,
    Notice,
    encode_frame,
)
from bramleybeam.orders import Demand, ModelDemand, Target

# Longest body once it is no longer compressed.
_MAX_BODY_BYTES: Final = 1 << 18
_BAD_DATAGRAM: Final = (
    FrameError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    RecursionError,
    zlib.error,
)


class UnreadableBeatError(Exception):
    """A datagram that is no message of a gateway; the reason says why."""


def encode_beat(beat: Beat) -> bytes:
    """Encode a message as a datagram."""
    topic, plain = _encode_plain(beat)
    text = json.dumps(plain, separators=(',', ':')).encode()
    return encode_frame(Notice(topic, zlib.compress(text)))


def decode_beat(datagram: bytes) -> Beat:
    """Decode a datagram; raises ``UnreadableBeatError``."""
    decoder = FrameDecoder()
    decoder.raise_limit()
    try:
        return _decode_frames(tuple(decoder.feed(datagram)))
    except _BAD_DATAGRAM as error:
        raise UnreadableBeatError(repr(error)) from error


def _encode_plain(beat: Beat) -> tuple[str, Mapping[str, Any]]:
    """Return the topic and the body of a message."""
    match beat:
        case Report():
            return 'report', _encode_report(beat)
        case Summary():
            return 'summary', _encode_summary(beat)
        case Wants():
            return 'wants', _encode_wants(beat)
        case OrdersGiven(ages=ages):
            return 'orders', ages
        case RowsLacking(mark=mark):
            return 'lacking', {'mark': attrs.astuple(mark)}
        case Probe():
            return 'probe', {}
        case ProbeAnswer():
            return 'probe-answer', {}


def _decode_frames(frames: Sequence[Frame]) -> Beat:
    if len(frames) != 1 or not isinstance(frames[0], Notice):
        raise ValueError('not one frame with a notice')
    return _decode_body(frames[0].topic, _inflate(frames[0].body))


def _inflate(body: bytes) -> Any:
    inflater = zlib.decompressobj()
    text = inflater.decompress(body, _MAX_BODY_BYTES)
    if not inflater.eof:
        raise ValueError('a body that is too long, or cut')
    return json.loads(text)


def _decode_body(topic: str, plain: dict[str, Any]) -> Beat:
    match topic:
        case 'report':
            return _decode_report(plain)
        case 'summary':
            return _decode_summary(plain)
        case 'wants':
            return _decode_wants(plain)
        case 'orders':
            return OrdersGiven(_decode_ages(plain))
        case 'lacking':
            return RowsLacking(_decode_mark(plain['mark']))
        case 'probe':
            return Probe()
        case 'probe-answer':
            return ProbeAnswer()
    raise ValueError(f'unknown topic {topic}')


def _encode_report(report: Report) -> dict[str, Any]:
    return {
        'period': report.period_s,
        'depth': report.depth,
        'mark': attrs.astuple(report.mark),
        'store': _encode_store(report.store),
        'loads': {
            name: [
                load.requests,
                load.unread_tokens,
                _encode_counts(load.by_target),
            ]
            for name, load in report.loads.items()
        },
        'demand': {
            name: [
                round(one.urgent, 2),
                round(one.patient, 2),
                round(one.tokens),
                one.was_urgent,
                round(one.adapted, 2),
            ]
            for name, one in report.demand.models.items()
        },
        'wants': _encode_wants(
            Wants(report.demand.waiting, report.demand.unserved_s)
        ),
        'unreachable': list(report.unreachable),
    }


def _decode_report(plain: dict[str, Any]) -> Report:
    wants = _decode_wants(plain['wants'])
    return Report(
        float(plain['period']),
        int(plain['depth']),
        _decode_mark(plain['mark']),
        _decode_store(plain['store']),
        {
            name: LoadReport(int(row[0]), int(row[1]), _decode_counts(row[2]))
            for name, row in plain['loads'].items()
        },
        Demand(
            {name: ModelDemand(*row) for name, row in plain['demand'].items()},
            wants.waiting,
            wants.unserved_s,
        ),
        tuple(map(str, plain['unreachable'])),
    )


def _encode_summary(summary: Summary) -> dict[str, Any]:
    news = summary.news
    plain: dict[str, Any] = {
        'period': summary.period_s,
        'store': _encode_store(summary.store),
        'mark': attrs.astuple(news.mark),
        'since': news.since,
        'rows': {
            name: _encode_placed(placed) for name, placed in news.rows.items()
        },
    }
    if news.mark.epoch:
        plain['age'] = round(news.age_s, 3)
    if summary.loads is not None:
        plain['loads'] = {
            name: [load.requests, load.unread_tokens]
            for name, load in summary.loads.items()
        }
    if summary.order_ages is not None:
        plain['orders'] = dict(summary.order_ages)
    return plain


def _decode_summary(plain: dict[str, Any]) -> Summary:
    loads = plain.get('loads')
    if loads is not None:
        loads = {
            name: LoadReport(int(row[0]), int(row[1]))
            for name, row in loads.items()
        }
    ages = plain.get('orders')
    return Summary(
        float(plain['period']),
        PlacementNews(
            _decode_mark(plain['mark']),
            int(plain['since']),
            float(plain.get('age', 'inf')),
            {name: _decode_placed(row) for name, row in plain['rows'].items()},
        ),
        _decode_store(plain['store']),
        loads,
        None if ages is None else _decode_ages(ages),
    )


def _encode_store(seen: StoreSeen) -> list[Any]:
    return [seen.revision, seen.planner.revision, seen.planner.host]


def _decode_store(row: list[Any]) -> StoreSeen:
    revision, planner_revision, host = row
    planner = PlannerSeen(int(planner_revision), str(host))
    return StoreSeen(int(revision), planner)


def _decode_mark(row: list[Any]) -> Mark:
    return Mark(int(row[0]), int(row[1]))


def _decode_ages(plain: dict[str, Any]) -> dict[str, float]:
    return {str(name): float(age) for name, age in plain.items()}


def _encode_wants(wants: Wants) -> dict[str, list[float]]:
    """Encode the count of each target, and for how long it is unserved."""
    return {
        f'{model}/{adapter}': [
            count,
            round(wants.unserved_s.get((model, adapter), 0), 1),
        ]
        for (model, adapter), count in wants.waiting.items()
    }


def _decode_wants(plain: dict[str, Any]) -> Wants:
    waiting = {}
    unserved_s = {}
    for key, (count, age_s) in plain.items():
        model, _, adapter = key.partition('/')
        waiting[model, adapter] = int(count)
        unserved_s[model, adapter] = float(age_s)
    return Wants(waiting, unserved_s)


def _encode_counts(counts: Mapping[Target, int]) -> dict[str, int]:
    return {f'{model}/{name}': count for (model, name), count in counts.items()}


def _decode_counts(counts: Mapping[str, int]) -> dict[Target, int]:
    decoded: dict[Target, int] = {}
    for key, count in counts.items():
        model, _, adapter = key.partition('/')
        decoded[model, adapter] = int(count)
    return decoded


def _encode_placed(placed: PlacedHoldings) -> list[Any]:
    models = {
        model: sorted(adapters)
        for model, adapters in placed.holdings.models.items()
    }
    return [
        placed.started_ms,
        models,
        placed.leaving,
        placed.coming,
        round(placed.coming_in_s, 2),
    ]


def _decode_placed(row: list[Any]) -> PlacedHoldings:
    models = {model: frozenset(names) for model, names in row[1].items()}
    return PlacedHoldings(
        Holdings(0, models),
        leaving=str(row[2]),
        started_ms=int(row[0]),
        coming=str(row[3]),
        coming_in_s=float(row[4]),
    )
