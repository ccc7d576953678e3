"""Orders to a replica: which models and adapters it holds."""

import asyncio
import json
from collections.abc import Mapping
from contextlib import closing
from typing import Any, Final

import attrs
import structlog

from bramleybeam.catalog import Holdings, Replica
from bramleybeam.orders import (
    LoadAdapter,
    LoadModel,
    ModelOrder,
    UnloadAdapter,
    UnloadModel,
)
from bramleybeam.platform._entries import decode_holdings
from bramleybeam.relay import BrokenReplyError, Headers, open_call

_CONNECT_TIMEOUT_S: Final = 0.3
_ANSWER_TIMEOUT_S: Final = 1.0
_MAX_REPORT_BYTES: Final = 1 << 20
_ACCEPTED: Final = 202
_ALREADY_HOLDS: Final = 200
_FENCED: Final = 412
_OK: Final = 200
_log = structlog.get_logger('orders')


@attrs.frozen
class OrderAccepted:
    """The replica carries the order out; ``done`` when it already holds."""

    done: bool = False


@attrs.frozen
class OrderRefused:
    """The replica did not take the order and never will.

    ``fenced`` tells that another giver of orders has a higher epoch; status
    0 stands for an order that never left this process.
    """

    status: int
    fenced: bool = False
    reason: str = ''


@attrs.frozen
class OrderUnanswered:
    """The order may have been taken, or may be taken later."""

    reason: str


OrderOutcome = OrderAccepted | OrderRefused | OrderUnanswered


@attrs.frozen
class OrderTerms:
    """Who gives an order: its name and epoch, and the sequence it expects."""

    holder: str
    epoch: int
    sequence: int


class ReplicaOrders:
    """Gives orders to replicas and reads their reports."""

    async def send(
        self,
        replica: Replica,
        order: ModelOrder,
        terms: OrderTerms,
    ) -> OrderOutcome:
        """Give one order and tell what became of it."""
        body = {
            **_encode_order(order),
            'expected': terms.sequence,
            'holder-id': terms.holder,
            'fencing-token': terms.epoch,
        }
        encoded = json.dumps(body).encode()
        try:
            status, _ = await _call(replica, b'POST /api/order', encoded)
        except _NotConnectedError as error:
            return OrderRefused(0, reason=str(error))
        except (OSError, TimeoutError, BrokenReplyError) as error:
            return OrderUnanswered(repr(error))
        if status in {_ACCEPTED, _ALREADY_HOLDS}:
            return OrderAccepted(done=status == _ALREADY_HOLDS)
        return OrderRefused(status, fenced=status == _FENCED)

    async def read_holdings(self, replica: Replica) -> Holdings | None:
        """Ask a replica what it holds; ``None`` when it doesn't say."""
        try:
            status, body = await _call(replica, b'GET /api/report', b'')
        except (OSError, TimeoutError, BrokenReplyError) as error:
            _log.warning(
                'report_failed', replica=replica.name, error=repr(error)
            )
            return None
        if status != _OK:
            _log.warning('report_failed', replica=replica.name, status=status)
            return None
        return decode_holdings(body)


class _NotConnectedError(OSError):
    """The order never left this process."""


async def _call(
    replica: Replica,
    line: bytes,
    body: bytes,
) -> tuple[int, bytes]:
    try:
        call = await open_call(replica.address, _CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as error:
        raise _NotConnectedError(str(error)) from error
    headers: Headers = (
        (b'Host', replica.address.encode()),
        (b'Content-Type', b'application/json'),
        (b'Bramleybeam-Expect-Instance', replica.name.encode()),
    )
    with closing(call):
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            head, answer = await call.ask(
                line + b' HTTP/1.1', headers, body, _MAX_REPORT_BYTES
            )
    return head.status, answer


def _encode_order(order: ModelOrder) -> Mapping[str, Any]:
    match order:
        case LoadModel(model=model):
            return {'op': 'load', 'model': model}
        case UnloadModel(model=model):
            return {'op': 'unload', 'model': model}
        case LoadAdapter(model=model, adapter=adapter):
            return {'op': 'load', 'model': model, 'adapter': adapter}
        case UnloadAdapter(model=model, adapter=adapter):
            return {'op': 'unload', 'model': model, 'adapter': adapter}
