"""The outcomes of an attempt to send a request to a replica."""

import attrs

from bramleybeam.relay import Headers


@attrs.frozen
class Delivered:
    """The complete answer was sent to the caller."""

    status: int


@attrs.frozen
class NotArrived:
    """The request never left this process.

    ``is_unreachable`` is whether the replica could not be reached; otherwise
    something was found that forbids it before the request was sent.
    """

    reason: str
    is_unreachable: bool = True


@attrs.frozen
class NotRun:
    """The replica reported that it did not run the request.

    ``is_missing`` is whether it doesn't hold the model, or is not the replica
    that the request was meant for.
    """

    status: int
    is_missing: bool


@attrs.frozen
class Lost:
    """The request may have run; its answer was lost or is not usable.

    ``is_broken_off`` is whether the connection ended. It did not if a replica
    that is alive sent something else than the answer.
    """

    reason: str
    is_broken_off: bool = False


@attrs.frozen
class FailedReply:
    """The replica ran the request and answered with a failure."""

    status: int
    headers: Headers
    body: bytes


Outcome = Delivered | NotArrived | NotRun | Lost | FailedReply
