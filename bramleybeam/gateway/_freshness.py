"""How old a gateway's knowledge of the store is, and whether others know more."""

from collections.abc import Callable
from typing import Final

import attrs
import structlog

# How long a change that another gateway knows of may be missing here. A
# gateway reads changes together, so that it is a little behind at all times.
_LAGGING_S: Final = 1.0
# Age of the store's word below which its calls are answered as usual.
_FRESH_S: Final = 2.0
_log = structlog.get_logger('freshness')


@attrs.frozen
class _Missing:
    """A revision of the store that others have, and since when it is known."""

    revision: int
    since: float


class StoreFreshness:
    """Compares own knowledge with what neighbours tell of theirs.

    ``clock`` gives seconds; ``on_lagging`` is called when others have known
    more for too long.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any knowledge."""
        self.revision = 0
        self.on_lagging: list[Callable[[], None]] = []
        self._clock = clock
        self._word_at: float | None = None
        self._missing: _Missing | None = None
        self._was_lagging = False

    @property
    def age_s(self) -> float | None:
        """How old the store's last word is; ``None`` before the first."""
        if self._word_at is None:
            return None
        return round(self._clock() - self._word_at, 3)

    @property
    def is_fresh(self) -> bool:
        """Whether the store's last word is as young as it is at all times."""
        age_s = self.age_s
        return age_s is not None and age_s <= _FRESH_S

    @property
    def is_lagging(self) -> bool:
        """Whether others know of changes that should have come long ago."""
        missing = self._missing
        return (
            missing is not None and self._clock() - missing.since > _LAGGING_S
        )

    def note_sync(self, revision: int, as_of: float) -> None:
        """Note that the store's state at a moment, in seconds, is known."""
        self.revision = max(self.revision, revision)
        self._word_at = max(as_of, self._word_at or as_of)
        if self._missing and self.revision >= self._missing.revision:
            self._missing = None
        if self._was_lagging and not self._missing:
            self._was_lagging = False
            _log.info('knowledge_caught_up', revision=self.revision)

    def note_peer_revision(self, revision: int) -> None:
        """Take in which revision another gateway has read."""
        if revision > self.revision and self._missing is None:
            self._missing = _Missing(revision, self._clock())
        if not self.is_lagging:
            return
        if not self._was_lagging:
            self._was_lagging = True
            _log.warning(
                'knowledge_behind', revision=self.revision, others=revision
            )
        for callback in self.on_lagging:
            callback()
