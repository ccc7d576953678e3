"""Encodes and decodes the messages between gateways as datagrams.

A datagram is one thrift frame. Its topic identifies the kind of message; its
body is JSON compressed with zlib.
"""

import json
import zlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from bramleybeam.costs import WorkNotice
from bramleybeam.gateway import _peer_codec_parts as parts
from bramleybeam.gateway._demand import make_demand, pending_of
from bramleybeam.gateway._loads import RemoteLoads
from bramleybeam.gateway._packed_loads import pack_loads, unpack_loads
from bramleybeam.gateway._peer_codec_pending import (
    decode_pending,
    encode_pending,
)
from bramleybeam.gateway._peer_codec_quotas import (
    QUOTA_TOPICS,
    decode_quota_message,
    encode_quota_message,
)
from bramleybeam.gateway._peer_messages import (
    DepartureUpdate,
    ObservedStoreState,
    OrderAnnouncement,
    ParentUpdate,
    PeerMessage,
    Probe,
    ProbeAnswer,
    ResyncRequest,
    SubtreeReport,
    SuspectUpdate,
    TreeMessage,
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
from bramleybeam.orders import ModelDemand
from bramleybeam.quotas import QuotaGrant, QuotaRequest

# Maximum size of a body after decompression.
_MAX_BODY_BYTES: Final = 1 << 18
_DECODING_ERRORS: Final = (
    FrameError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    RecursionError,
    zlib.error,
)


# Topic of a notice of work, whose short body is neither JSON nor compressed.
_WORK_TOPIC: Final = 'work'


class UnreadablePeerMessageError(Exception):
    """A datagram that can't be decoded; the message holds the reason."""


def encode_peer_message(message: PeerMessage) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, WorkNotice):
        return encode_frame(Notice(_WORK_TOPIC, message.encode()))
    topic, fields = (
        encode_quota_message(message)
        if isinstance(message, QuotaRequest | QuotaGrant)
        else _encode_body(message)
    )
    text = json.dumps(fields, separators=(',', ':')).encode()
    return encode_frame(Notice(topic, zlib.compress(text)))


def decode_peer_message(datagram: bytes) -> PeerMessage:
    """Return the message of a datagram.

    Raises ``UnreadablePeerMessageError`` if the datagram is malformed.
    """
    decoder = FrameDecoder()
    decoder.raise_limit()
    try:
        return _decode_frames(tuple(decoder.feed(datagram)))
    except _DECODING_ERRORS as error:
        raise UnreadablePeerMessageError(repr(error)) from error


def _encode_body(message: TreeMessage) -> tuple[str, Mapping[str, Any]]:
    """Return the topic and the body of a message, before JSON encoding."""
    match message:
        case SubtreeReport():
            return 'report', _encode_report(message)
        case ParentUpdate():
            return 'summary', _encode_parent_update(message)
        case PendingDemand():
            return 'wants', encode_pending(message)
        case DepartureUpdate(rows=rows):
            return 'departures', parts.encode_departures(rows)
        case SuspectUpdate(report=report):
            return 'suspects', parts.encode_suspects(report)
        case OrderAnnouncement(ages=ages):
            return 'orders', ages
        case ResyncRequest(version=version):
            return 'lacking', {'mark': attrs.astuple(version)}
        case Probe():
            return 'probe', {}
        case ProbeAnswer():
            return 'probe-answer', {}
    raise TypeError(f'no topic for {type(message).__name__}')


def _decode_frames(frames: Sequence[Frame]) -> PeerMessage:
    if len(frames) != 1 or not isinstance(frames[0], Notice):
        raise ValueError('datagram is not a single Notice frame')
    notice = frames[0]
    if notice.topic == _WORK_TOPIC:
        return WorkNotice.decode(notice.body)
    fields = _decompress_json(notice.body)
    if notice.topic in QUOTA_TOPICS:
        return decode_quota_message(notice.topic, fields)
    return _decode_body(notice.topic, fields)


def _decompress_json(body: bytes) -> Any:
    """Return the JSON value of a body; its size is checked."""
    inflater = zlib.decompressobj()
    text = inflater.decompress(body, _MAX_BODY_BYTES)
    if not inflater.eof:
        raise ValueError('message body is too long or truncated')
    return json.loads(text)


def _decode_body(topic: str, fields: dict[str, Any]) -> PeerMessage:
    match topic:
        case 'report':
            return _decode_report(fields)
        case 'summary':
            return _decode_parent_update(fields)
        case 'wants':
            return decode_pending(fields)
        case 'departures':
            return DepartureUpdate(parts.decode_departures(fields))
        case 'suspects':
            return SuspectUpdate(parts.decode_suspects(fields))
        case 'orders':
            return OrderAnnouncement(parts.decode_ages(fields))
        case 'lacking':
            return ResyncRequest(parts.decode_version(fields['mark']))
        case 'probe':
            return Probe()
        case 'probe-answer':
            return ProbeAnswer()
    raise ValueError(f'unknown topic {topic}')


def _encode_report(report: SubtreeReport) -> dict[str, Any]:
    return {
        'period': round(report.period_s, 2),
        'depth': report.depth,
        'mark': attrs.astuple(report.version),
        'store': parts.encode_store_state(report.store),
        'version': report.store.version,
        # Gateways of an earlier version expect this field.
        'loads': {},
        'packed': pack_loads(report.loads.totals),
        'targets': parts.encode_targets(report.loads.targets),
        'demand': {
            name: _encode_demand(model_demand)
            for name, model_demand in report.demand.models.items()
        },
        'wants': encode_pending(pending_of(report.demand)),
        'unreachable': list(report.unreachable),
        'departures': parts.encode_departures(report.departures),
        'pauses': parts.encode_pauses(report.pauses),
        'outcomes': parts.encode_outcomes(report.outcomes),
        'suspects': parts.encode_suspects(report.suspects),
        **parts.encode_keys(report.keys),
    }


def _decode_report(fields: dict[str, Any]) -> SubtreeReport:
    pending = decode_pending(fields['wants'])
    return SubtreeReport(
        float(fields['period']),
        int(fields['depth']),
        parts.decode_version(fields['mark']),
        _decode_store_state(fields),
        RemoteLoads(
            unpack_loads(fields.get('packed', '')),
            parts.decode_targets(fields.get('targets', {})),
        ),
        make_demand(
            {name: ModelDemand(*row) for name, row in fields['demand'].items()},
            pending,
        ),
        tuple(map(str, fields['unreachable'])),
        parts.decode_departures(fields['departures']),
        parts.decode_pauses(fields.get('pauses', {})),
        parts.decode_outcomes(fields.get('outcomes', {})),
        parts.decode_suspects(fields.get('suspects', {})),
        parts.decode_keys(fields),
    )


def _encode_parent_update(update: ParentUpdate) -> dict[str, Any]:
    delta = update.delta
    fields: dict[str, Any] = {
        'period': round(update.period_s, 2),
        'store': parts.encode_store_state(update.store),
        'version': update.store.version,
        'mark': attrs.astuple(delta.version),
        'since': delta.since,
        'rows': {
            name: parts.encode_placement(placement)
            for name, placement in delta.rows.items()
        },
        **parts.encode_keys(update.keys),
    }
    if delta.version.epoch:
        fields['age'] = round(delta.age_s, 3)
    if update.loads is not None:
        fields['packed'] = pack_loads(update.loads.totals)
    if update.order_ages is not None:
        fields['orders'] = dict(update.order_ages)
    if update.departures:
        fields['departures'] = parts.encode_departures(update.departures)
    if update.pauses:
        fields['pauses'] = parts.encode_pauses(update.pauses)
    if update.outcomes:
        fields['outcomes'] = parts.encode_outcomes(update.outcomes)
    if update.suspects:
        fields['suspects'] = parts.encode_suspects(update.suspects)
    return fields


def _decode_parent_update(fields: dict[str, Any]) -> ParentUpdate:
    packed = fields.get('packed')
    loads = None if packed is None else RemoteLoads(unpack_loads(packed))
    ages = fields.get('orders')
    return ParentUpdate(
        float(fields['period']),
        PlacementDelta(
            parts.decode_version(fields['mark']),
            int(fields['since']),
            float(fields.get('age', 'inf')),
            {
                name: parts.decode_placement(row)
                for name, row in fields['rows'].items()
            },
        ),
        _decode_store_state(fields),
        loads,
        None if ages is None else parts.decode_ages(ages),
        parts.decode_departures(fields.get('departures', {})),
        parts.decode_pauses(fields.get('pauses', {})),
        parts.decode_outcomes(fields.get('outcomes', {})),
        parts.decode_suspects(fields.get('suspects', {})),
        parts.decode_keys(fields),
    )


def _decode_store_state(fields: dict[str, Any]) -> ObservedStoreState:
    return parts.decode_store_state(
        fields['store'], int(fields.get('version', 0))
    )


def _encode_demand(demand: ModelDemand) -> list[float]:
    """Return the fields without the last ones that are 0, as most are."""
    row: list[float] = [
        round(demand.urgent, 2),
        round(demand.tolerant, 2),
        round(demand.tokens),
        int(demand.was_urgent),
        round(demand.adapted, 2),
    ]
    while row and not row[-1]:
        row.pop()
    return row
