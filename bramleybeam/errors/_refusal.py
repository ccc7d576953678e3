"""The value that filters and decisions return instead of an answer."""

import attrs

from bramleybeam.errors._kinds import ErrorKind, Execution, describe_kind


@attrs.frozen
class Refusal:
    """The kind of a refusal, its message, and whether the request ran.

    ``retry_after`` is in seconds; ``None`` means that a retry does not help.
    """

    kind: ErrorKind
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return int(describe_kind(self.kind).status)

    @property
    def remedy(self) -> str:
        """What the caller can do about the refusal."""
        return describe_kind(self.kind).remedy


def refuse(
    kind: ErrorKind,
    detail: str = '',
    execution: Execution = Execution.NOT_RUN,
    retry_after: float | None = None,
) -> Refusal:
    """Return a refusal whose message is the kind's meaning plus a detail."""
    meaning = describe_kind(kind).meaning
    message = f'{meaning} {detail}'.strip()
    return Refusal(kind, message, execution, retry_after)
