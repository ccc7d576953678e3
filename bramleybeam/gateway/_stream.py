"""Splits a stream of server-sent events at the ends of events."""

from typing import Final

from bramleybeam.relay import BrokenReplyError

_END_OF_EVENT: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
_MAX_EVENT_BYTES: Final = 1 << 20


class EventSplitter:
    """Returns complete events and checks that their ids are consecutive.

    ``last_id`` is the id of the last event returned, or of the event after
    which the stream was resumed.
    """

    def __init__(self, last_id: str = '') -> None:
        """Expect the event after ``last_id``; empty for a new stream."""
        self.last_id = last_id
        self._count = 0
        self._partial = b''
        # In the middle of a stream, an event without an id can be an error
        # message of a replica that does not resume the stream.
        self._requires_ids = bool(last_id)

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes since the last complete event are not blank."""
        return bool(self._partial.strip())

    @property
    def partial_bytes(self) -> int:
        """Bytes received since the last complete event."""
        return len(self._partial)

    def feed(self, piece: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises ``BrokenReplyError`` if an id is not the next one or if an event
        is too long, and for an event of a resumed stream that has no id.
        """
        joined = self._partial + piece
        end = joined.rfind(_END_OF_EVENT)
        if end < 0:
            if len(joined) > _MAX_EVENT_BYTES:
                raise BrokenReplyError(
                    f'event exceeds {_MAX_EVENT_BYTES} bytes'
                )
            self._partial = joined
            return b''
        end += len(_END_OF_EVENT)
        complete = joined[:end]
        self._partial = joined[end:]
        for event in complete.split(_END_OF_EVENT):
            has_id = self._note_id(event)
            if event.strip() and self._requires_ids and not has_id:
                raise BrokenReplyError('an event of a resumed stream has no id')
        return complete

    def take_count(self) -> int:
        """Return the number of events with an id since the last call."""
        count = self._count
        self._count = 0
        return count

    def _note_id(self, event: bytes) -> bool:
        """Check and count the id of an event; return whether it has one."""
        has_id = False
        for line in event.split(b'\n'):
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                self._check_sequence(event_id)
                self.last_id = event_id
                self._count += 1
                has_id = True
        return has_id

    def _check_sequence(self, event_id: str) -> None:
        previous_id = self.last_id
        if previous_id.isdigit() and event_id.isdigit():
            if int(event_id) != int(previous_id) + 1:
                raise BrokenReplyError(
                    f'event {event_id} follows event {previous_id}'
                )
