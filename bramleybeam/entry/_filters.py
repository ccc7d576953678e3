"""Filters before dispatch: authentication, classification, admission."""

import hmac
from typing import Protocol

import xxhash
from expression import Error, Ok, Result

from bramleybeam.documents import ConfigurationKeeper, Document, WorkClass
from bramleybeam.entry._exchange import Exchange
from bramleybeam.errors import ErrorKind, Refusal, refuse

CLASS_HEADER = 'x-work-class'
KEY_HEADER = 'idempotency-key'
# Longest idempotency key, in characters.
_MAX_KEY_LENGTH = 200

Outcome = Result[Exchange, Refusal]


class Filter(Protocol):
    """A step of the pipeline that accepts or refuses an exchange."""

    async def apply(self, exchange: Exchange) -> Outcome:
        """Return the exchange, or a refusal that states it did not run."""


class CallerAuthenticator:
    """Authenticates the caller of a request by its key."""

    def __init__(self, caller_keys: tuple[str, ...]) -> None:
        """Store keys given as ``CALLER:KEY``; without any, all are accepted."""
        pairs = [pair.partition(':') for pair in caller_keys]
        self._keys = {key: caller for caller, _, key in pairs}

    async def apply(self, exchange: Exchange) -> Outcome:
        """Set the exchange's caller; refuse a missing or unknown key."""
        if not self._keys:
            exchange.caller = 'anonymous'
            return Ok(exchange)
        credentials = exchange.headers.get('authorization', '')
        caller = self._find_caller(credentials.removeprefix('Bearer '))
        if caller is None:
            return Error(refuse(ErrorKind.UNAUTHENTICATED))
        exchange.caller = caller
        return Ok(exchange)

    def _find_caller(self, credentials: str) -> str | None:
        matching_caller = None
        for key, caller in self._keys.items():
            if hmac.compare_digest(key.encode(), credentials.encode()):
                matching_caller = caller
        return matching_caller


class RequestClassifier:
    """Determines the target, class of work and fingerprint of a request."""

    def __init__(self, keeper: ConfigurationKeeper) -> None:
        """Store the source of the configuration."""
        self._keeper = keeper

    async def apply(self, exchange: Exchange) -> Outcome:
        """Set the fields; refuse unknown models, services and classes."""
        document = self._keeper.document
        if document is None:
            return Error(refuse(ErrorKind.NOT_CONFIGURED, retry_after=1))
        refusal = self._find_target(exchange, document)
        if refusal is None:
            refusal = self._find_class(exchange, document)
        if refusal is not None:
            return Error(refusal)
        key = exchange.headers.get(KEY_HEADER, '')
        if len(key) > _MAX_KEY_LENGTH:
            return Error(
                refuse(
                    ErrorKind.INVALID_REQUEST,
                    f'Idempotency-Key is longer than {_MAX_KEY_LENGTH} '
                    'characters.',
                ),
            )
        exchange.idempotency_key = key
        exchange.fingerprint = _fingerprint(exchange)
        return Ok(exchange)

    def _find_target(
        self,
        exchange: Exchange,
        document: Document,
    ) -> Refusal | None:
        if exchange.kind == 'service':
            if exchange.target not in document.services:
                return refuse(
                    ErrorKind.UNKNOWN_SERVICE, f'Asked: {exchange.target}.'
                )
            return None
        adapter = document.adapters_by_name.get(exchange.target)
        exchange.base_model = adapter.model if adapter else exchange.target
        model = document.models_by_name.get(exchange.base_model)
        if model is None:
            return refuse(ErrorKind.UNKNOWN_MODEL, f'Asked: {exchange.target}.')
        exchange.pool = model.pool
        return None

    def _find_class(
        self,
        exchange: Exchange,
        document: Document,
    ) -> Refusal | None:
        name = exchange.headers.get(CLASS_HEADER, '')
        if not name:
            name = _default_class(exchange, document)
        work_class = document.classes_by_name.get(name)
        if work_class is None:
            return refuse(ErrorKind.UNKNOWN_CLASS, f'Asked: {name or "none"}.')
        exchange.work_class = work_class
        return None


class AdmissionFilter:
    """Refuses new requests while the entry shuts down."""

    def __init__(self) -> None:
        """Start in the state that accepts requests."""
        self.is_closed = False

    async def apply(self, exchange: Exchange) -> Outcome:
        """Refuse the exchange if ``is_closed`` was set by the shutdown."""
        if self.is_closed:
            return Error(refuse(ErrorKind.SHUTTING_DOWN, retry_after=0))
        return Ok(exchange)


def _default_class(exchange: Exchange, document: Document) -> str:
    adapter = document.adapters_by_name.get(exchange.target)
    if adapter is not None and adapter.work_class:
        return adapter.work_class
    model = document.models_by_name.get(exchange.base_model)
    return model.work_class if model else ''


def _fingerprint(exchange: Exchange) -> str:
    digest = xxhash.xxh3_128(exchange.target.encode())
    digest.update(exchange.path.encode())
    digest.update(exchange.raw_body)
    return str(digest.hexdigest())


__all__ = [
    'AdmissionFilter',
    'RequestClassifier',
    'Filter',
    'CallerAuthenticator',
    'Outcome',
    'WorkClass',
]
