"""Decides whether a reply is the answer to the request that was sent.

Nothing else in the head of a reply is used before this decision.
"""

from http import HTTPStatus
from typing import Final

import attrs

from bramleybeam.platform import ReplyFacts

# Statuses by which a caller learns that the request was not run. If a replica
# returns one of them without sealing the answer, it is unknown whether it ran.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


@attrs.frozen
class Answer:
    """The reply results from a run of the request."""


@attrs.frozen
class ReplicaRefusal:
    """The replica states that it did not run the request."""


@attrs.frozen
class StaleReply:
    """A late reply to an earlier request on the same connection."""


@attrs.frozen
class InvalidReply:
    """Bytes of a faulty replica; the request may have run."""

    reason: str


ReplyMatch = Answer | ReplicaRefusal | StaleReply | InvalidReply


def match_reply(
    facts: ReplyFacts,
    request_id: str,
    *,
    is_connection_new: bool,
    is_resumed: bool,
) -> ReplyMatch:
    """Return what a reply is to the request with an id.

    Replicas echo the id in every reply, refusals included.
    ``is_connection_new`` is whether the connection carried no earlier request,
    ``is_resumed`` whether the caller has received a part of the answer.
    """
    if not facts.echoed_id:
        return InvalidReply(f'{facts.status} without the id of a request')
    if facts.echoed_id != request_id:
        if is_connection_new:
            return InvalidReply(f'{facts.status} for another request')
        return StaleReply()
    if facts.never_ran:
        return ReplicaRefusal()
    return _match_run(facts, is_resumed=is_resumed)


def _match_run(facts: ReplyFacts, *, is_resumed: bool) -> ReplyMatch:
    """Return what a reply is to a request that may have run."""
    if facts.is_sealed:
        return Answer()
    status = facts.status
    if status in _NOT_RUN_STATUSES:
        return InvalidReply(
            f'{status} without a header that tells whether it ran'
        )
    if is_resumed:
        return InvalidReply(f'{status} without a seal for a resumed stream')
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return InvalidReply(f'{status} without a seal')
    return Answer()
