"""Filters before dispatch: identify, classify and admit a request."""

import hmac
from typing import Protocol

import xxhash
from expression import Error, Ok, Result

from bramleybeam.documents import ConfigurationKeeper, Document, WorkClass
from bramleybeam.entry._exchange import Exchange
from bramleybeam.errors import ErrorKind, Refusal, refuse

CLASS_HEADER = 'x-work-class'
KEY_HEADER = 'idempotency-key'
_MAX_KEY_LENGTH = 200

Outcome = Result[Exchange, Refusal]


class Filter(Protocol):
    """One step of the pipeline: passes an exchange on, or refuses it."""

    async def apply(self, exchange: Exchange) -> Outcome:
        """Pass the exchange on, or refuse it as not run."""


class Identify:
    """Finds out which caller sends the request, by its key."""

    def __init__(self, caller_keys: tuple[str, ...]) -> None:
        """Store keys as ``CALLER:KEY``; none lets every caller in."""
        pairs = [pair.partition(':') for pair in caller_keys]
        self._keys = {key: caller for caller, _, key in pairs}

    async def apply(self, exchange: Exchange) -> Outcome:
        """Refuse a caller whose key is not known."""
        if not self._keys:
            exchange.caller = 'anonymous'
            return Ok(exchange)
        sent = exchange.headers.get('authorization', '')
        caller = self._find(sent.removeprefix('Bearer '))
        if caller is None:
            return Error(refuse(ErrorKind.UNAUTHENTICATED))
        exchange.caller = caller
        return Ok(exchange)

    def _find(self, sent: str) -> str | None:
        found = None
        for key, caller in self._keys.items():
            if hmac.compare_digest(key.encode(), sent.encode()):
                found = caller
        return found


class Classify:
    """Finds the model and the class of work of a request."""

    def __init__(self, keeper: ConfigurationKeeper) -> None:
        """Store where the configuration comes from."""
        self._keeper = keeper

    async def apply(self, exchange: Exchange) -> Outcome:
        """Refuse unknown models, services and classes."""
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
                    f'Idempotency-Key is longer than {_MAX_KEY_LENGTH}.',
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


class Admit:
    """Refuses early what this entry cannot take."""

    def __init__(self) -> None:
        """Start open."""
        self.closed = False

    async def apply(self, exchange: Exchange) -> Outcome:
        """Refuse new requests once the shutdown has closed the entry."""
        if self.closed:
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
    digest.update(exchange.raw)
    return str(digest.hexdigest())


__all__ = [
    'Admit',
    'Classify',
    'Filter',
    'Identify',
    'Outcome',
    'WorkClass',
]
