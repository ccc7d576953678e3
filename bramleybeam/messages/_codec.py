"""Typed messages to JSON and back, through cattrs."""

import json
from typing import Any, TypeVar

import cattrs

MessageType = TypeVar('MessageType')
_CONVERTER = cattrs.Converter(detailed_validation=False)


class MessageError(Exception):
    """A peer sent a body that is not the message its topic names."""


def encode(message: Any) -> bytes:
    """Encode a message as JSON."""
    plain = _CONVERTER.unstructure(message)
    return json.dumps(plain, separators=(',', ':')).encode()


def decode(body: bytes, message_type: type[MessageType]) -> MessageType:
    """Decode a message; raises ``MessageError`` when it does not fit."""
    try:
        return _CONVERTER.structure(json.loads(body), message_type)
    except Exception as error:
        name = message_type.__name__
        raise MessageError(f'not a {name}: {error!r}; upgrade it') from error
