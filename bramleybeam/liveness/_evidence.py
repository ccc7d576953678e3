"""What a peer shows of itself, and what that proves.

Handles this failure: a process ends while its last bytes are held up on the way,
and by the time they are read another process listens at its address, under
another name or the same one.
"""

from enum import StrEnum
from typing import Final

import attrs

# Shortest time from the end of a process until its next start accepts
# connections.
MIN_RESTART_S: Final = 0.5


class Liveness(StrEnum):
    """Whether a process lives; ``UNCLEAR`` if there is no proof of either."""

    ALIVE = 'alive'
    GONE = 'gone'
    UNCLEAR = 'unclear'


@attrs.frozen
class ProcessIdentity:
    """One start of a process; an empty name and 0 stand for unknown.

    ``started_ms`` is the Unix time of the start.
    """

    name: str = ''
    started_ms: int = 0


@attrs.frozen
class Statement:
    """What a process says of itself; an empty name and 0 if it does not say.

    ``is_other`` is set if it refuses a request for the name that it was asked for.
    """

    name: str = ''
    started_ms: int = 0
    is_other: bool = False


@attrs.frozen
class PortClosed:
    """No process accepts connections; ``seen_at`` is when that was tried.

    Times here are in seconds: ``seen_at`` by the clock of the event loop, as
    the beginning of the observation, and ``reached_at``, when the peer was
    reached, by a clock that includes suspension of the host.
    """

    seen_at: float


@attrs.frozen
class PortOpen:
    """Some process accepts connections."""

    seen_at: float
    reached_at: float


@attrs.frozen
class Replied:
    """A process has replied.

    ``is_guard`` is set if it did so on a connection that is known to belong to
    the process in question.
    """

    seen_at: float
    reached_at: float
    statement: Statement
    is_guard: bool = False


@attrs.frozen
class NoReply:
    """The peer neither refused nor replied; ``error`` is why."""

    seen_at: float
    error: str


Evidence = PortClosed | PortOpen | Replied | NoReply


def judge(
    evidence: Evidence, identity: ProcessIdentity, alive_at: float
) -> Liveness:
    """Return whether a process still lived when the evidence was collected.

    ``alive_at`` is a time at which it lived for certain, by the clock that
    includes suspension: it has answered a request that was sent then. Whoever is
    reached less than ``MIN_RESTART_S`` later is the same process. After that, the
    start time proves it, and so does a connection that belongs to the process;
    a name does not, because a process may start again under its name.

    Example::

        judge(PortOpen(seen_at=7.0, reached_at=7.02), identity, alive_at=6.9)
    """
    match evidence:
        case PortClosed():
            return Liveness.GONE
        case Replied(statement=stated) if _contradicts(stated, identity):
            return Liveness.GONE
        case Replied(statement=stated) if _proves(stated, identity):
            return Liveness.ALIVE
        case Replied(is_guard=True):
            return Liveness.ALIVE
        case PortOpen(reached_at=at) | Replied(reached_at=at):
            is_timely = at < alive_at + MIN_RESTART_S
            return Liveness.ALIVE if is_timely else Liveness.UNCLEAR
    return Liveness.UNCLEAR


def _contradicts(stated: Statement, identity: ProcessIdentity) -> bool:
    """Whether another process than the identified one has made a statement."""
    if stated.is_other:
        return True
    if stated.name and identity.name and stated.name != identity.name:
        return True
    starts = {stated.started_ms, identity.started_ms} - {0}
    return len(starts) > 1


def _proves(stated: Statement, identity: ProcessIdentity) -> bool:
    """Whether no other process makes this statement."""
    return bool(stated.started_ms) and stated.started_ms == identity.started_ms
