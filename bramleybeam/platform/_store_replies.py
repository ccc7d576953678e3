"""Decodes the store's listings and changes."""

import base64
from typing import Any, Final

import attrs
import structlog

from bramleybeam.keyvalue import Changes, Item, Removal, Unavailable

# Raised by decoding a reply with missing or mistyped fields.
REPLY_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)
_log = structlog.get_logger('store')


def note_unreadable(name: str, error: Exception) -> Unavailable:
    """Log a reply that can't be decoded, which counts as no reply."""
    _log.warning('store_reply_unreadable', reply=name, error=repr(error)[:200])
    return Unavailable(f'unreadable {name}')


@attrs.frozen
class Page:
    """One page of a listing; ``is_truncated`` if another one follows."""

    items: tuple[Item, ...]
    revision: int
    is_truncated: bool


def decode_page(content: Any) -> Page:
    """Decode one page of a listing."""
    return Page(
        tuple(map(_decode_item, content['items'])),
        int(content['as-of']),
        bool(content.get('truncated')),
    )


def decode_changes(content: Any) -> Changes:
    """Decode the changes after a revision."""
    events = tuple(map(_decode_event, content['events']))
    return Changes(events, int(content['as-of']))


def _decode_item(row: dict[str, Any]) -> Item:
    content = base64.b64decode(row['value'])
    return Item(str(row['key']), content, int(row['revision']))


def _decode_event(row: dict[str, Any]) -> Item | Removal:
    if row.get('removed'):
        return Removal(str(row['key']), int(row['revision']))
    return _decode_item(row)
