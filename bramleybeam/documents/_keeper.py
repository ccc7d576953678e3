"""Holds the configuration in force; it never goes back to an older one."""

from collections.abc import Callable

import structlog
from expression import Result

from bramleybeam.documents._codec import Applied, decode_applied
from bramleybeam.documents._document import Document

_log = structlog.get_logger('configuration')


class ConfigurationKeeper:
    """The highest revision seen, from whatever source it came.

    A document that does not pass its checks is logged and left out, so a bad
    write to the service cannot take a running process out of service.
    """

    def __init__(self) -> None:
        """Start without a configuration, at revision 0."""
        self.text = ''
        self.refused = 0
        self._applied: Applied | None = None
        self._listeners: list[Callable[[Applied], None]] = []

    @property
    def revision(self) -> int:
        """Revision in force; 0 means none yet."""
        return self._applied.revision if self._applied else 0

    @property
    def document(self) -> Document | None:
        """The document in force."""
        return self._applied.document if self._applied else None

    @property
    def applied(self) -> Applied | None:
        """The document in force with its revision and author."""
        return self._applied

    def subscribe(self, listener: Callable[[Applied], None]) -> None:
        """Call ``listener`` with each newly accepted revision."""
        self._listeners.append(listener)

    def offer(self, text: str, source: str) -> bool:
        """Accept a document that is newer than the one in force."""
        match decode_applied(text):
            case Result(tag='ok', ok=applied):
                return self._accept(applied, text, source)
            case Result(error=problems):
                self.refused += 1
                _log.error(
                    'document_refused',
                    source=source,
                    problems=[str(problem) for problem in problems],
                )
        return False

    def _accept(self, applied: Applied, text: str, source: str) -> bool:
        if applied.revision <= self.revision:
            return False
        self._applied = applied
        self.text = text
        _log.info(
            'revision_in_force',
            revision=applied.revision,
            source=source,
        )
        for listener in self._listeners:
            listener(applied)
        return True
