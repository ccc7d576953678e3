"""Conversion of typed messages to and from JSON, with cattrs."""

import json
from typing import Any, TypeVar

import cattrs

MessageType = TypeVar('MessageType')
_CONVERTER = cattrs.Converter(detailed_validation=False)


class MessageError(Exception):
    """The body sent by a peer is not a message of its topic."""


def encode(message: Any) -> bytes:
    """Return a message as compact JSON in UTF-8."""
    plain = _CONVERTER.unstructure(message)
    return json.dumps(plain, separators=(',', ':')).encode()


def decode(body: bytes, message_type: type[MessageType]) -> MessageType:
    """Return the message in ``body``.

    Raises ``MessageError`` when it is not a ``message_type``.
    """
    try:
        return _CONVERTER.structure(json.loads(body), message_type)
    except Exception as error:
        name = message_type.__name__
        raise MessageError(
            f'not a {name}: {error!r}; upgrade the sender'
        ) from error
