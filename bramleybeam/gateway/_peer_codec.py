"""Encodes the messages between gateways as datagrams.

A datagram is one thrift frame, whose topic tells the kind of message; its body
is compressed JSON.
"""

import json
import zlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from bramleybeam.gateway import _peer_codec_parts as parts
from bramleybeam.gateway._loads import LoadReport
from bramleybeam.gateway._peer_messages import (
    DepartureUpdate,
    OrderAnnouncement,
    ParentUpdate,
    PeerMessage,
    Probe,
    ProbeAnswer,
    ResyncRequest,
    SubtreeReport,
)
from bramleybeam.gateway._pending_demand import PendingDemand
from bramleybeam.gateway._placement import PlacementDelta
from bramleybeam.links import (
    Frame,
    FrameDecoder,
    FrameError,
    Notice,
    encode_frame,
)
from bramleybeam.orders import Demand, ModelDemand

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


class UnreadablePeerMessageError(Exception):
    """A datagram that is no message of a gateway; the reason says why."""


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    topic, plain = _encode_plain(message)
    text = json.dumps(plain, separators=(',', ':')).encode()
    return encode_frame(Notice(topic, zlib.compress(text)))


def decode_peer_message(datagram: bytes) -> PeerMessage:
    """Decode a datagram; raises ``UnreadablePeerMessageError``."""
    decoder = FrameDecoder()
    decoder.raise_limit()
    try:
        return _decode_frames(tuple(decoder.feed(datagram)))
    except _BAD_DATAGRAM as error:
        raise UnreadablePeerMessageError(repr(error)) from error


def _encode_plain(message: PeerMessage) -> tuple[str, Mapping[str, Any]]:
    """Return the topic and the body of a message."""
    match message:
        case SubtreeReport():
            return 'report', _encode_report(message)
        case ParentUpdate():
            return 'summary', _encode_summary(message)
        case PendingDemand():
            return 'wants', parts.encode_pending(message)
        case DepartureUpdate(rows=rows):
            return 'departures', parts.encode_departures(rows)
        case OrderAnnouncement(ages=ages):
            return 'orders', ages
        case ResyncRequest(version=version):
            return 'lacking', {'mark': attrs.astuple(version)}
        case Probe():
            return 'probe', {}
        case ProbeAnswer():
            return 'probe-answer', {}


def _decode_frames(frames: Sequence[Frame]) -> PeerMessage:
    if len(frames) != 1 or not isinstance(frames[0], Notice):
        raise ValueError('not one frame with a notice')
    return _decode_body(frames[0].topic, _inflate(frames[0].body))


def _inflate(body: bytes) -> Any:
    inflater = zlib.decompressobj()
    text = inflater.decompress(body, _MAX_BODY_BYTES)
    if not inflater.eof:
        raise ValueError('a body that is too long, or cut')
    return json.loads(text)


def _decode_body(topic: str, plain: dict[str, Any]) -> PeerMessage:
    match topic:
        case 'report':
            return _decode_report(plain)
        case 'summary':
            return _decode_summary(plain)
        case 'wants':
            return parts.decode_pending(plain)
        case 'departures':
            return DepartureUpdate(parts.decode_departures(plain))
        case 'orders':
            return OrderAnnouncement(parts.decode_ages(plain))
        case 'lacking':
            return ResyncRequest(parts.decode_version(plain['mark']))
        case 'probe':
            return Probe()
        case 'probe-answer':
            return ProbeAnswer()
    raise ValueError(f'unknown topic {topic}')


def _encode_report(report: SubtreeReport) -> dict[str, Any]:
    return {
        'period': report.period_s,
        'depth': report.depth,
        'mark': attrs.astuple(report.version),
        'store': parts.encode_store(report.store),
        'loads': {
            name: [
                load.requests,
                load.prefill_tokens,
                parts.encode_counts(load.by_target),
            ]
            for name, load in report.loads.items()
        },
        'demand': {
            name: [
                round(one.urgent, 2),
                round(one.tolerant, 2),
                round(one.tokens),
                one.was_urgent,
                round(one.adapted, 2),
            ]
            for name, one in report.demand.models.items()
        },
        'wants': parts.encode_pending(
            PendingDemand(report.demand.waiting, report.demand.unserved_s)
        ),
        'unreachable': list(report.unreachable),
        'departures': parts.encode_departures(report.departures),
    }


def _decode_report(plain: dict[str, Any]) -> SubtreeReport:
    pending = parts.decode_pending(plain['wants'])
    return SubtreeReport(
        float(plain['period']),
        int(plain['depth']),
        parts.decode_version(plain['mark']),
        parts.decode_store(plain['store']),
        {
            name: LoadReport(
                int(row[0]), int(row[1]), parts.decode_counts(row[2])
            )
            for name, row in plain['loads'].items()
        },
        Demand(
            {name: ModelDemand(*row) for name, row in plain['demand'].items()},
            pending.waiting,
            pending.unserved_s,
        ),
        tuple(map(str, plain['unreachable'])),
        parts.decode_departures(plain['departures']),
    )


def _encode_summary(summary: ParentUpdate) -> dict[str, Any]:
    delta = summary.delta
    plain: dict[str, Any] = {
        'period': summary.period_s,
        'store': parts.encode_store(summary.store),
        'mark': attrs.astuple(delta.version),
        'since': delta.since,
        'rows': {
            name: parts.encode_placed(placed)
            for name, placed in delta.rows.items()
        },
    }
    if delta.version.epoch:
        plain['age'] = round(delta.age_s, 3)
    if summary.loads is not None:
        plain['loads'] = {
            name: [load.requests, load.prefill_tokens]
            for name, load in summary.loads.items()
        }
    if summary.order_ages is not None:
        plain['orders'] = dict(summary.order_ages)
    if summary.departures:
        plain['departures'] = parts.encode_departures(summary.departures)
    return plain


def _decode_summary(plain: dict[str, Any]) -> ParentUpdate:
    loads = plain.get('loads')
    if loads is not None:
        loads = {
            name: LoadReport(int(row[0]), int(row[1]))
            for name, row in loads.items()
        }
    ages = plain.get('orders')
    return ParentUpdate(
        float(plain['period']),
        PlacementDelta(
            parts.decode_version(plain['mark']),
            int(plain['since']),
            float(plain.get('age', 'inf')),
            {
                name: parts.decode_placed(row)
                for name, row in plain['rows'].items()
            },
        ),
        parts.decode_store(plain['store']),
        loads,
        None if ages is None else parts.decode_ages(ages),
        parts.decode_departures(plain.get('departures', {})),
    )
