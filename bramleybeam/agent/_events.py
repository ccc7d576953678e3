"""What an upstream answers, and the parser of an engine's event stream."""

import json
from typing import Any

import attrs


@attrs.frozen
class Started:
    """The upstream took the request and answers with this status."""

    status: int
    content_type: str


@attrs.frozen
class Text:
    """A piece of the answer: ``count`` tokens from ``offset`` on."""

    offset: int
    count: int
    body: bytes


@attrs.frozen
class Finished:
    """The upstream's finish mark."""

    offset: int
    reason: str
    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class NotRun:
    """The upstream was not given the request, or refused to start it."""

    reason: str
    busy: bool


@attrs.frozen
class Lost:
    """The upstream was lost after it may have started."""

    reason: str
    crashed: bool


Event = Started | Text | Finished | NotRun | Lost


class EventParser:
    """Joins the tokens that arrive together into one piece.

    Raises ``ValueError`` when an event is malformed or does not begin at the
    offset where the last one ended: a torn answer is never passed on.
    """

    def __init__(self, offset: int) -> None:
        """Start at ``offset`` tokens."""
        self.finished = False
        self._offset = offset
        self._rest = b''

    def feed(self, received: bytes) -> list[Event]:
        """Return the events that are complete now."""
        *blocks, rest = (self._rest + received).split(b'\n\n')
        self._rest = rest
        start = self._offset
        texts: list[str] = []
        ends: list[Event] = []
        for block in blocks:
            event = _parse_block(block)
            if event is not None:
                texts.append(self._take_text(event))
                ends.extend(self._take_finish(event))
        body = ''.join(texts).encode()
        if not body:
            return ends
        return [Text(start, self._offset - start, body), *ends]

    def _take_text(self, event: dict[str, Any]) -> str:
        text = _text_of(event['choices'][0])
        if not text:
            return ''
        if event['offset'] != self._offset:
            offset = event['offset']
            raise ValueError(f'event at {offset}, expected {self._offset}')
        self._offset += event['tokens']
        return text

    def _take_finish(self, event: dict[str, Any]) -> list[Event]:
        reason = event['choices'][0].get('finish_reason')
        if not reason:
            return []
        self.finished = True
        usage = event.get('usage') or {}
        return [
            Finished(
                self._offset,
                reason,
                usage.get('prompt_tokens', 0),
                usage.get('cached_tokens', 0),
            ),
        ]


def _parse_block(block: bytes) -> dict[str, Any] | None:
    line = block.removeprefix(b'data: ')
    if line == b'[DONE]' or not line.startswith(b'{'):
        return None
    event = json.loads(line)
    if not isinstance(event.get('choices'), list) or not event['choices']:
        raise ValueError('an event without choices')
    return event


def _text_of(choice: dict[str, Any]) -> str:
    delta = choice.get('delta')
    if delta is None:
        return choice.get('text') or ''
    return delta.get('content') or ''
