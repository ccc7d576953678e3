"""The error kinds, with the HTTP status, meaning and remedy of each.

The list is complete: no refusal has a kind outside it. The texts make up the
reference of errors.
"""

from enum import StrEnum, unique
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import attrs


@unique
class Execution(StrEnum):
    """Whether a refused request ran, as far as is known.

    ``NOT_RUN`` is reported only if the request was sent to no upstream, or if
    the process that received it has proved that it never started.
    """

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ALREADY_RAN = 'already_ran'


@unique
class ErrorKind(StrEnum):
    """Kinds of error that are reported to callers and operators."""

    INVALID_REQUEST = 'invalid_request'
    REQUEST_TOO_LARGE = 'request_too_large'
    UNAUTHENTICATED = 'unauthenticated'
    KEYS_OUTDATED = 'keys_outdated'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_CLASS = 'unknown_class'
    UNKNOWN_SERVICE = 'unknown_service'
    NOT_CONFIGURED = 'not_configured'
    NO_READY_UPSTREAM = 'no_ready_upstream'
    TARGET_UNREACHABLE = 'target_unreachable'
    CALLER_LIMIT = 'caller_limit'
    QUOTA_UNAVAILABLE = 'quota_unavailable'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_LOST = 'upstream_lost'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    DUPLICATE_IN_PROGRESS = 'duplicate_in_progress'
    DUPLICATE_FINISHED = 'duplicate_finished'
    KEY_REUSED = 'idempotency_key_reused'
    QUARANTINED = 'quarantined'
    CRASH_SUSPECTED = 'crash_suspected'
    SHUTTING_DOWN = 'shutting_down'


@attrs.frozen
class KindDescription:
    """HTTP status, meaning and remedy of one error kind."""

    status: int
    meaning: str
    remedy: str


_DESCRIPTIONS: Final = MappingProxyType(
    {
        ErrorKind.INVALID_REQUEST: KindDescription(
            HTTPStatus.BAD_REQUEST,
            'The request does not follow the documented interface.',
            'Correct the named parameter and send the request again.',
        ),
        ErrorKind.REQUEST_TOO_LARGE: KindDescription(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            'The request body is larger than the documented limit.',
            'Shorten the request and send it again.',
        ),
        ErrorKind.UNAUTHENTICATED: KindDescription(
            HTTPStatus.UNAUTHORIZED,
            'The key is missing or not known.',
            'Send a valid key as "Authorization: Bearer KEY".',
        ),
        ErrorKind.KEYS_OUTDATED: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'Whether the key is still valid cannot be checked at the moment.',
            'Repeat after the time in Retry-After.',
        ),
        ErrorKind.UNKNOWN_MODEL: KindDescription(
            HTTPStatus.NOT_FOUND,
            'No model or adapter of this name is configured.',
            'Use a name that GET /v1/models lists.',
        ),
        ErrorKind.UNKNOWN_CLASS: KindDescription(
            HTTPStatus.BAD_REQUEST,
            'No class of work of this name is configured.',
            'Name a configured class in the X-Work-Class header.',
        ),
        ErrorKind.UNKNOWN_SERVICE: KindDescription(
            HTTPStatus.NOT_FOUND,
            'No plain service of this name is configured.',
            'Use the name of a configured service.',
        ),
        ErrorKind.NOT_CONFIGURED: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'This entry has not yet received a configuration.',
            'Repeat shortly; operators check "ctl status".',
        ),
        ErrorKind.NO_READY_UPSTREAM: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'No upstream that holds the model is ready.',
            'Repeat after the time in Retry-After.',
        ),
        ErrorKind.TARGET_UNREACHABLE: KindDescription(
            HTTPStatus.TOO_MANY_REQUESTS,
            'The target of the class cannot be met at the current load.',
            'Repeat after the time in Retry-After.',
        ),
        ErrorKind.CALLER_LIMIT: KindDescription(
            HTTPStatus.TOO_MANY_REQUESTS,
            'The caller has used its share of the capacity.',
            'Repeat after the time in Retry-After.',
        ),
        ErrorKind.QUOTA_UNAVAILABLE: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'Nobody can say at the moment whether the quota is used up.',
            'Repeat after the time in Retry-After.',
        ),
        ErrorKind.UPSTREAM_REFUSED: KindDescription(
            HTTPStatus.BAD_GATEWAY,
            'The upstream refused the request.',
            'Read the message; correct the request if it names a parameter.',
        ),
        ErrorKind.UPSTREAM_LOST: KindDescription(
            HTTPStatus.BAD_GATEWAY,
            'The upstream was lost after it had been given the request.',
            'Check the effect first; then repeat under a new key if needed.',
        ),
        ErrorKind.DEADLINE_EXCEEDED: KindDescription(
            HTTPStatus.GATEWAY_TIMEOUT,
            'The request did not finish within its longest wait.',
            'Repeat it if "execution" says not_run; else check its effect.',
        ),
        ErrorKind.CLAIMS_UNAVAILABLE: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The idempotency key cannot be claimed at the moment.',
            'Repeat with the same Idempotency-Key after Retry-After.',
        ),
        ErrorKind.DUPLICATE_IN_PROGRESS: KindDescription(
            HTTPStatus.CONFLICT,
            'A request with this Idempotency-Key was started before.',
            'Wait for the first answer, or repeat later for its outcome.',
        ),
        ErrorKind.DUPLICATE_FINISHED: KindDescription(
            HTTPStatus.CONFLICT,
            'A request with this Idempotency-Key ran; its answer is not kept.',
            'Do not send it again: it ran.',
        ),
        ErrorKind.KEY_REUSED: KindDescription(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'The Idempotency-Key was used before with another request.',
            'Use a new Idempotency-Key for a new request.',
        ),
        ErrorKind.QUARANTINED: KindDescription(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'Requests like this one crashed upstreams and are held back.',
            'Change the request, or repeat it after the time in Retry-After.',
        ),
        ErrorKind.CRASH_SUSPECTED: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'Requests with the same content crashed upstreams, one after other.',
            'Change the request, or repeat it after the time in Retry-After.',
        ),
        ErrorKind.SHUTTING_DOWN: KindDescription(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'This entry is shutting down.',
            'Repeat at once; the balancer will choose another entry.',
        ),
    }
)


def describe_kind(kind: ErrorKind) -> KindDescription:
    """Return the HTTP status, meaning and remedy of an error kind."""
    return _DESCRIPTIONS[kind]
