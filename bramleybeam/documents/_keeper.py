"""Holds the configuration in force, whose revision never decreases."""

from collections.abc import Callable

import structlog
from expression import Result

from bramleybeam.documents._codec import Applied, decode_applied
from bramleybeam.documents._document import Document

_log = structlog.get_logger('configuration')


class ConfigurationKeeper:
    """Holds the document with the highest revision received.

    Documents come from the key-value service and from peers. A document that
    fails its checks is logged and ignored, so that an invalid write to the
    key-value service cannot take a running process out of service.

    ``text`` is the encoded document in force, and ``refused_count`` the
    number of documents that failed to decode or failed their checks.
    """

    def __init__(self) -> None:
        """Initialise without a document, at revision 0."""
        self.text = ''
        self.refused_count = 0
        self._applied: Applied | None = None
        self._listeners: list[Callable[[Applied], None]] = []

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first document."""
        return self._applied.revision if self._applied else 0

    @property
    def document(self) -> Document | None:
        """The document in force; ``None`` before the first."""
        return self._applied.document if self._applied else None

    @property
    def applied(self) -> Applied | None:
        """The document in force with its revision and who applied it when."""
        return self._applied

    def subscribe(self, listener: Callable[[Applied], None]) -> None:
        """Call ``listener`` with each revision that comes into force."""
        self._listeners.append(listener)

    def offer(self, text: str, source: str) -> bool:
        """Put a document in force if it is valid and newer than the current one.

        ``source`` names the sender in the log. Returns whether this call put
        the document in force.
        """
        match decode_applied(text):
            case Result(tag='ok', ok=applied):
                return self._accept(applied, text, source)
            case Result(error=problems):
                self.refused_count += 1
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
