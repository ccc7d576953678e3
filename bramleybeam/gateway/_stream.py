"""Cuts a stream of server-sent events into whole events."""

from typing import Final

from bramleybeam.relay import BrokenReplyError

_END_OF_EVENT: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
_MAX_EVENT_BYTES: Final = 1 << 20


class EventSplitter:
    """Hands out whole events and checks that their ids follow each other.

    ``last_id`` is the id of the last event handed out, or that after which
    the stream was resumed.
    """

    def __init__(self, last_id: str = '') -> None:
        """Start after the event of ``last_id``, if any."""
        self.last_id = last_id
        self._count = 0
        self._rest = b''

    @property
    def has_rest(self) -> bool:
        """Whether the stream has stopped within an event."""
        return bool(self._rest.strip())

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that are there; raises on a gap."""
        joined = self._rest + piece
        end = joined.rfind(_END_OF_EVENT)
        if end < 0:
            if len(joined) > _MAX_EVENT_BYTES:
                raise BrokenReplyError(
                    f'an event of more than {_MAX_EVENT_BYTES} bytes'
                )
            self._rest = joined
            return b''
        end += len(_END_OF_EVENT)
        whole = joined[:end]
        self._rest = joined[end:]
        for event in whole.split(_END_OF_EVENT):
            self._note_id(event)
        return whole

    def take_count(self) -> int:
        """Return how many events were handed out since the last call."""
        count = self._count
        self._count = 0
        return count

    def _note_id(self, event: bytes) -> None:
        for line in event.split(b'\n'):
            if line.startswith(_ID_FIELD):
                found = line[len(_ID_FIELD) :].strip().decode('latin-1')
                self._check_order(found)
                self.last_id = found
                self._count += 1

    def _check_order(self, found: str) -> None:
        before = self.last_id
        if before.isdigit() and found.isdigit():
            if int(found) != int(before) + 1:
                raise BrokenReplyError(f'event {found} after {before}')
