"""Sends orders to replicas: which models and adapters to load or unload."""

import json
from collections.abc import Callable, Mapping
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
from bramleybeam.platform._requests import EXPECT_INSTANCE, describe_reply
from bramleybeam.relay import (
    BrokenReplyError,
    Headers,
    ReplyHead,
    connect_peer,
)
from bramleybeam.timers import running_timeout

_CONNECT_TIMEOUT_S: Final = 0.3
_REPLY_TIMEOUT_S: Final = 1.0
_MAX_REPORT_BYTES: Final = 1 << 20
_ACCEPTED: Final = 202
_ALREADY_HOLDS: Final = 200
_FENCED: Final = 412
_OK: Final = 200
_log = structlog.get_logger('orders')


@attrs.frozen
class OrderAccepted:
    """The replica carries out the order; ``done`` if it was done already."""

    done: bool = False


@attrs.frozen
class OrderRefused:
    """The replica did not accept the order and never will.

    ``status`` is the HTTP status code, or 0 for an order that was not sent.
    ``fenced`` means that the replica knows a planner with a higher epoch.
    """

    status: int
    fenced: bool = False
    reason: str = ''


@attrs.frozen
class OrderUnanswered:
    """No reply: the order may have been accepted, or may be accepted later."""

    reason: str


OrderOutcome = OrderAccepted | OrderRefused | OrderUnanswered


@attrs.frozen
class OrderTerms:
    """The conditions under which a replica accepts an order.

    ``holder`` is the sender of the order, ``epoch`` its fencing token, and
    ``sequence`` the number of orders that the replica must have accepted.
    """

    holder: str
    epoch: int
    sequence: int


class ReplicaOrders:
    """Sends orders to replicas and reads their reports.

    ``on_leaving`` is called with a replica whose reply states that it is
    leaving.
    """

    def __init__(self, on_leaving: Callable[[Replica], None]) -> None:
        """Store the callback."""
        self._on_leaving = on_leaving

    async def send(
        self,
        replica: Replica,
        order: ModelOrder,
        terms: OrderTerms,
    ) -> OrderOutcome:
        """Send one order and return its outcome."""
        body = {
            **_encode_order(order),
            'expected': terms.sequence,
            'holder-id': terms.holder,
            'fencing-token': terms.epoch,
        }
        encoded = json.dumps(body).encode()
        try:
            head, _ = await self._call(replica, b'POST /api/order', encoded)
        except _NotConnectedError as error:
            return OrderRefused(0, reason=str(error))
        except (OSError, TimeoutError, BrokenReplyError) as error:
            return OrderUnanswered(repr(error))
        status = head.status
        if status in {_ACCEPTED, _ALREADY_HOLDS}:
            return OrderAccepted(done=status == _ALREADY_HOLDS)
        return OrderRefused(status, fenced=status == _FENCED)

    async def read_holdings(self, replica: Replica) -> Holdings | None:
        """Return the models and adapters that a replica reports.

        Returns ``None`` if it does not reply or the report is malformed.
        """
        try:
            head, body = await self._call(replica, b'GET /api/report', b'')
        except (OSError, TimeoutError, BrokenReplyError) as error:
            _log.warning(
                'report_failed', replica=replica.name, error=repr(error)
            )
            return None
        if head.status != _OK:
            _log.warning(
                'report_failed', replica=replica.name, status=head.status
            )
            return None
        return decode_holdings(body)

    async def _call(
        self,
        replica: Replica,
        first_line: bytes,
        body: bytes,
    ) -> tuple[ReplyHead, bytes]:
        """Send a request; return the head and the body of the reply."""
        head, reply = await _call(replica, first_line, body)
        if describe_reply(head).is_leaving:
            self._on_leaving(replica)
        return head, reply


class _NotConnectedError(OSError):
    """No connection to the replica, so that nothing was sent."""


async def _call(
    replica: Replica,
    first_line: bytes,
    body: bytes,
) -> tuple[ReplyHead, bytes]:
    """Send a request and return the head and the body of the reply.

    Raises ``OSError``, ``TimeoutError`` or ``BrokenReplyError``; a
    ``_NotConnectedError`` means that the request was not sent.
    """
    try:
        connection = await connect_peer(replica.address, _CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as error:
        raise _NotConnectedError(str(error)) from error
    headers: Headers = (
        (b'Host', replica.address.encode()),
        (b'Content-Type', b'application/json'),
        (EXPECT_INSTANCE, replica.name.encode()),
    )
    with closing(connection):
        async with running_timeout(_REPLY_TIMEOUT_S):
            return await connection.fetch(
                first_line + b' HTTP/1.1', headers, body, _MAX_REPORT_BYTES
            )


def _encode_order(order: ModelOrder) -> Mapping[str, Any]:
    """Return the fields of an order in the platform's format."""
    match order:
        case LoadModel(model=model):
            return {'op': 'load', 'model': model}
        case UnloadModel(model=model):
            return {'op': 'unload', 'model': model}
        case LoadAdapter(model=model, adapter=adapter):
            return {'op': 'load', 'model': model, 'adapter': adapter}
        case UnloadAdapter(model=model, adapter=adapter):
            return {'op': 'unload', 'model': model, 'adapter': adapter}
