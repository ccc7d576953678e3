"""Decodes the store's listings and changes."""

import base64
from typing import Any, Final

import attrs
import structlog

from bramleybeam.keyvalue import Changes, Item, Removal, Unavailable
from bramleybeam.platform._store_calls import StoreAnswer

# Raised by decoding a reply with missing or mistyped fields.
REPLY_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)
# More revisions than a store gives out before it comes back from a copy. Orders
# carry revisions as fencing tokens, which JSON represents exactly below 2 ** 53.
REVISIONS_PER_ERA: Final = 1 << 40
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


def decode_page(answer: StoreAnswer) -> Page:
    """Decode one page of a listing."""
    content = answer.content
    return Page(
        tuple(_decode_item(row, answer.era) for row in content['items']),
        revision_in_era(content['as-of'], answer.era),
        bool(content.get('truncated')),
    )


def decode_changes(answer: StoreAnswer) -> Changes:
    """Decode the changes after a revision."""
    content = answer.content
    events = tuple(_decode_event(row, answer.era) for row in content['events'])
    return Changes(events, revision_in_era(content['as-of'], answer.era))


def revision_in_era(stated: Any, era: int) -> int:
    """Return a revision that is higher than all of earlier eras.

    The store gives out revisions again after it has come back from a copy.
    """
    return era * REVISIONS_PER_ERA + int(stated)


def _decode_item(row: dict[str, Any], era: int) -> Item:
    content = base64.b64decode(row['value'])
    revision = revision_in_era(row['revision'], era)
    return Item(str(row['key']), content, revision)


def _decode_event(row: dict[str, Any], era: int) -> Item | Removal:
    if row.get('removed'):
        return Removal(str(row['key']), revision_in_era(row['revision'], era))
    return _decode_item(row, era)
