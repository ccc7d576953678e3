"""Events of an upstream's response and the parser of an engine's stream."""

import json
from typing import Any, Final

import attrs


# Limit of one event of an engine's stream.
_MAX_EVENT_BYTES: Final = 1 << 20


@attrs.frozen
class Started:
    """The upstream accepted the request and responds with this status."""

    status: int
    content_type: str


@attrs.frozen
class Text:
    """A part of the response: ``count`` tokens that start at ``offset``.

    Both are in bytes when the upstream is a service.
    """

    offset: int
    count: int
    body: bytes


@attrs.frozen
class Finished:
    """The response is complete; ``offset`` is its length."""

    offset: int
    reason: str
    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class NotRun:
    """The upstream did not receive the request, or refused to run it.

    ``busy`` means that a later attempt may succeed.
    """

    reason: str
    busy: bool


@attrs.frozen
class Lost:
    """The response ended early; the upstream may have run the request.

    ``crashed`` means that the engine may have crashed.
    """

    reason: str
    crashed: bool


Event = Started | Text | Finished | NotRun | Lost


class EventParser:
    """Parses an engine's event stream.

    Tokens that arrive together are joined into one ``Text``. ``feed`` raises
    ``ValueError`` when an event is malformed, too long or does not start at the
    offset where the previous one ended, so that a response with a gap or a
    repetition is never forwarded.
    """

    def __init__(self, offset: int) -> None:
        """Expect the first event at ``offset`` tokens."""
        self.finished = False
        self._offset = offset
        self._incomplete = b''

    def feed(self, received: bytes) -> list[Event]:
        """Add received bytes and return the events that are complete."""
        *blocks, incomplete = (self._incomplete + received).split(b'\n\n')
        self._incomplete = incomplete
        if len(incomplete) > _MAX_EVENT_BYTES:
            raise ValueError(f'an event exceeds {_MAX_EVENT_BYTES} bytes')
        start_offset = self._offset
        texts: list[str] = []
        finish_events: list[Event] = []
        for block in blocks:
            event = _parse_block(block)
            if event is not None:
                texts.append(self._consume_text(event))
                finish_events.extend(self._consume_finish(event))
        body = ''.join(texts).encode()
        if not body:
            return finish_events
        return [
            Text(start_offset, self._offset - start_offset, body),
            *finish_events,
        ]

    def _consume_text(self, event: dict[str, Any]) -> str:
        text = _get_text(event['choices'][0])
        if not text:
            return ''
        if event['offset'] != self._offset:
            offset = event['offset']
            raise ValueError(
                f'event starts at token {offset}, expected {self._offset}'
            )
        self._offset += event['tokens']
        return text

    def _consume_finish(self, event: dict[str, Any]) -> list[Event]:
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
        raise ValueError('event has no choices')
    return event


def _get_text(choice: dict[str, Any]) -> str:
    delta = choice.get('delta')
    if delta is None:
        return choice.get('text') or ''
    return delta.get('content') or ''
