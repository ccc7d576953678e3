"""Encodes the messages on quotas as JSON values.

``decode_quota_message`` raises ``ValueError``, ``KeyError``, ``TypeError`` or
``AttributeError`` for malformed values.
"""

import math
from typing import Any, Final

import attrs

from bramleybeam.quotas import DemandRow, GrantRow, QuotaGrant, QuotaRequest

_REQUEST: Final = 'quota-request'
_GRANT: Final = 'quota-grant'
# Topics of the messages on quotas. Gateways of earlier versions log that they
# can't read them, and ignore them.
QUOTA_TOPICS: Final = frozenset((_REQUEST, _GRANT))


def encode_quota_message(
    message: QuotaRequest | QuotaGrant,
) -> tuple[str, dict[str, Any]]:
    """Return the topic and the body of a message, before JSON encoding."""
    if isinstance(message, QuotaRequest):
        return _REQUEST, {
            'epoch': message.epoch,
            'process': message.incarnation,
            'number': message.sequence,
            'complete': int(message.is_complete),
            'rows': {
                name: attrs.astuple(row) for name, row in message.rows.items()
            },
        }
    return _GRANT, {
        'epoch': message.epoch,
        'process': message.incarnation,
        'number': message.sequence,
        'version': message.version,
        'interval': round(message.interval_s, 3),
        'granting': int(message.is_granting),
        'rows': {
            name: [row.amount, _round_up(row.wait_s)]
            for name, row in message.rows.items()
        },
    }


def decode_quota_message(
    topic: str, fields: dict[str, Any]
) -> QuotaRequest | QuotaGrant:
    """Return the message of a topic in ``QUOTA_TOPICS``."""
    identity = (
        int(fields['epoch']),
        int(fields['process']),
        int(fields['number']),
    )
    if topic == _REQUEST:
        return QuotaRequest(
            *identity,
            bool(fields['complete']),
            {
                str(name): _decode_demand(row)
                for name, row in fields['rows'].items()
            },
        )
    return QuotaGrant(
        *identity,
        int(fields['version']),
        _finite(fields['interval']),
        bool(fields['granting']),
        {
            str(name): GrantRow(
                int(amount), None if wait_s is None else _finite(wait_s)
            )
            for name, (amount, wait_s) in fields['rows'].items()
        },
    )


def _decode_demand(row: list[Any]) -> DemandRow:
    numbers = [int(number) for number in row]
    if min(numbers) < 0:
        raise ValueError('negative amount')
    # Later versions may add numbers.
    return DemandRow(*numbers[: len(attrs.fields(DemandRow))])


def _round_up(wait_s: float | None) -> float | None:
    return None if wait_s is None else math.ceil(wait_s * 100) / 100


def _finite(number: Any) -> float:
    """Return a finite number of at least 0; raises ``ValueError``."""
    found = float(number)
    if not 0 <= found < math.inf:
        raise ValueError('not a time')
    return found
