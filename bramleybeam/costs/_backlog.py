"""The work in seconds that replicas have been sent and not done yet.

Handles this load: many gateways send requests for the same models at the same
moment. Reports of loads are old by some hundred milliseconds, in which a replica
processes several prompts, so that all gateways would choose the same replica. A
notice of each request reaches the others in about a millisecond.
"""

import struct
from collections import OrderedDict
from typing import Final

import attrs

# Replicas whose backlog is remembered; the one longest unused is dropped.
_MAX_REPLICAS: Final = 8192
# Longest backlog that is believed, in seconds.
_MAX_BACKLOG_S: Final = 30.0
# Part of its time that a replica spends on new requests. The rest is for the steps
# of the streams that it runs.
_NEW_WORK_SHARE: Final = 0.75
# Format of a notice: 3 bytes of the replica's code, 2 of the milliseconds.
_FORMAT: Final = struct.Struct('>BHH')
_CODE_SHIFT: Final = 16
_LOW_BITS: Final = 0xFFFF
_MS_PER_S: Final = 1000


@attrs.frozen
class WorkNotice:
    """A request was sent to a replica that costs it some seconds of work.

    ``code`` is the replica's code, of three bytes.
    """

    code: int
    work_s: float

    def encode(self) -> bytes:
        """Return the notice in five bytes."""
        work_ms = min(max(0, round(self.work_s * _MS_PER_S)), _LOW_BITS)
        return _FORMAT.pack(
            self.code >> _CODE_SHIFT, self.code & _LOW_BITS, work_ms
        )

    @classmethod
    def decode(cls, encoded: bytes) -> 'WorkNotice':
        """Return the notice; raises ``ValueError`` if it is malformed."""
        try:
            high, low, work_ms = _FORMAT.unpack(encoded)
        except struct.error as error:
            raise ValueError(str(error)) from error
        return cls(high << _CODE_SHIFT | low, work_ms / _MS_PER_S)


class WorkBacklogs:
    """Estimates the backlog of each replica.

    What is sent adds to it, and the replica works it off with a part of its
    time. Times are in seconds, of any clock.
    """

    def __init__(self) -> None:
        """Start without work."""
        self._backlogs: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def add(self, notice: WorkNotice, now: float) -> None:
        """Add the work of one request, sent by this or another gateway."""
        left_s = self.seconds(notice.code, now) + notice.work_s
        self._backlogs[notice.code] = (min(left_s, _MAX_BACKLOG_S), now)
        self._backlogs.move_to_end(notice.code)
        while len(self._backlogs) > _MAX_REPLICAS:
            self._backlogs.popitem(last=False)

    def seconds(self, code: int, now: float) -> float:
        """Return the seconds of work that a replica presumably has left."""
        backlog_s, noted_at = self._backlogs.get(code, (0.0, now))
        done_s = _NEW_WORK_SHARE * max(0.0, now - noted_at)
        return max(0.0, backlog_s - done_s)
