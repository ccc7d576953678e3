"""Requests and parts of prompts that were answered completely of late."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

# Time for which a complete answer counts, and the number of keys for which it is
# recorded.
_SOUND_S: Final = 30.0
_MAX_KEYS: Final = 4096


class SoundKeys:
    """The keys of complete answers; arguments ``now`` are in seconds."""

    def __init__(self) -> None:
        """Start without answers."""
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def note(self, keys: Iterable[str], now: float) -> None:
        """Record a complete answer to a request with these keys."""
        for key in keys:
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > _MAX_KEYS:
            self._answered_at.popitem(last=False)

    def is_sound(self, key: str, now: float) -> bool:
        """Whether a request with this key was answered of late."""
        return now - self._answered_at.get(key, float('-inf')) < _SOUND_S
