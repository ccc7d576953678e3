"""Datagrams between gateways: loads, demand and the planner's placement.

A datagram is one thrift frame with a JSON body; it is taken only from the
address of a gateway that the store lists. What is lost is told again by the
next one.
"""

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import attrs
import structlog

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._directory import Directory, PlacedHoldings
from bramleybeam.gateway._loads import LoadReport
from bramleybeam.gateway._status import Traffic
from bramleybeam.links import FrameDecoder, FrameError, Notice, encode_frame
from bramleybeam.orders import Demand, ModelDemand, Target

_TOPIC: Final = 'gateway-beat'
_ORDERS_TOPIC: Final = 'gateway-orders'
_BAD_BEAT: Final = (
    FrameError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
)
_log = structlog.get_logger('peers')


@attrs.frozen
class Beat:
    """What one gateway tells all others.

    ``epoch`` is above 0 when the sender is the planner; ``placement`` is then
    its word.
    """

    sender: str
    loads: Mapping[str, LoadReport] = attrs.field(factory=dict)
    demand: Demand = attrs.field(factory=Demand)
    unreachable: Sequence[str] = ()
    epoch: int = 0
    placement: Mapping[str, PlacedHoldings] | None = None


class PeerLink(asyncio.DatagramProtocol):
    """Sends beats to the gateways that the directory lists."""

    def __init__(
        self,
        directory: Directory,
        address: str,
        hear: Callable[[Beat], None],
        hear_orders: Callable[[Mapping[str, float]], None],
        traffic: Traffic,
    ) -> None:
        """Store own address ``IP:PORT``, who takes beats and order ages."""
        self._traffic = traffic
        self._hear_orders = hear_orders
        self.address = address
        self._directory = directory
        self._hear = hear
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the port; ``address`` then holds the chosen one."""
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._transport = transport
        chosen = transport.get_extra_info('sockname')
        self.address = f'{chosen[0]}:{chosen[1]}'

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def send(self, beat: Beat) -> None:
        """Tell every other gateway how things stand here."""
        self._send(Notice(_TOPIC, encode_beat(beat)))

    def announce_orders(self, ages: Mapping[str, float]) -> None:
        """Tell every other gateway how long ago replicas were ordered."""
        self._send(Notice(_ORDERS_TOPIC, json.dumps(ages).encode()))

    def datagram_received(self, received: bytes, addr: Any) -> None:
        """Take a beat from a gateway that the store lists."""
        sender = f'{addr[0]}:{addr[1]}'
        self._traffic.note_received('peers', len(received))
        if sender not in self._directory.peers.values():
            return
        try:
            self._take(received, sender)
        except _BAD_BEAT as error:
            _log.warning('beat_unreadable', sender=sender, error=repr(error))

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered."""
        _log.debug('beat_undelivered', error=repr(exc))

    def _send(self, notice: Notice) -> None:
        if self._transport is None:
            return
        datagram = encode_frame(notice)
        for address in self._directory.peers.values():
            host, _, port = address.rpartition(':')
            if address != self.address and port.isdigit():
                self._transport.sendto(datagram, (host, int(port)))
                self._traffic.note_sent('peers', len(datagram))

    def _take(self, received: bytes, sender: str) -> None:
        decoder = FrameDecoder()
        decoder.raise_limit()
        for frame in decoder.feed(received):
            if not isinstance(frame, Notice):
                continue
            if frame.topic == _TOPIC:
                self._hear(decode_beat(frame.body, sender))
            elif frame.topic == _ORDERS_TOPIC:
                self._hear_orders(json.loads(frame.body))


def encode_beat(beat: Beat) -> bytes:
    """Encode a beat without its sender, which the address tells."""
    plain: dict[str, Any] = {
        'loads': {
            name: [
                load.requests,
                load.unread_tokens,
                _encode_counts(load.by_target),
            ]
            for name, load in beat.loads.items()
        },
        'demand': {
            name: [
                round(one.urgent, 2),
                round(one.patient, 2),
                round(one.tokens),
                one.was_urgent,
                round(one.adapted, 2),
            ]
            for name, one in beat.demand.models.items()
        },
        'waiting': _encode_counts(beat.demand.waiting),
        'unreachable': list(beat.unreachable),
        'epoch': beat.epoch,
    }
    if beat.placement is not None:
        plain['placement'] = {
            name: _encode_placed(placed)
            for name, placed in beat.placement.items()
        }
    return json.dumps(plain, separators=(',', ':')).encode()


def decode_beat(body: bytes, sender: str) -> Beat:
    """Decode a beat; raises what indexing and conversion raise."""
    plain = json.loads(body)
    placement = plain.get('placement')
    if placement is not None:
        placement = {
            name: _decode_placed(row) for name, row in placement.items()
        }
    return Beat(
        sender=sender,
        loads={
            name: LoadReport(row[0], row[1], _decode_counts(row[2]))
            for name, row in plain['loads'].items()
        },
        demand=Demand(
            {name: ModelDemand(*row) for name, row in plain['demand'].items()},
            _decode_counts(plain['waiting']),
        ),
        unreachable=tuple(map(str, plain['unreachable'])),
        epoch=plain['epoch'],
        placement=placement,
    )


def _encode_counts(counts: Mapping[Target, int]) -> dict[str, int]:
    return {f'{model}/{name}': count for (model, name), count in counts.items()}


def _decode_counts(counts: Mapping[str, int]) -> dict[Target, int]:
    decoded: dict[Target, int] = {}
    for key, count in counts.items():
        model, _, adapter = key.partition('/')
        decoded[model, adapter] = count
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
