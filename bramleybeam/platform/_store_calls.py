"""Single calls to the platform's store.

Each call opens a connection of its own, because the peer of an open one may
have stopped responding. Calls never raise for failures of the store.
"""

import json
import time
from contextlib import closing
from typing import Any, Final, Protocol
from urllib.parse import urlencode

import attrs
import structlog

from bramleybeam.relay import (
    BrokenReplyError,
    PeerConnection,
    ReplyHead,
    connect_peer,
    find_header,
)
from bramleybeam.timers import running_timeout

OK_STATUS: Final = 200
_CONNECT_TIMEOUT_S: Final = 0.5
# Time-out of a call, in addition to the wait of a watch.
_CALL_TIMEOUT_S: Final = 1.5
_MAX_REPLY_BYTES: Final = 1 << 24
# Expected statuses besides success: a lease that has ended (404), a history
# that is gone (410) and a key that is taken (412).
_EXPECTED_STATUSES: Final = frozenset((OK_STATUS, 404, 410, 412))
# Raised by a call that gets no valid reply.
_CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    BrokenReplyError,
    ValueError,
    RecursionError,
)
# Rises by one each time the store comes back from a copy.
_ERA_HEADER: Final = b'store-era'
_log = structlog.get_logger('store')


class CallObserver(Protocol):
    """Callback for each finished call to the store."""

    def __call__(
        self, took_s: float, sizes: tuple[int, int], *, answered: bool
    ) -> None:
        """Receive the duration in seconds and whether the store replied.

        ``sizes`` are the bytes sent and the bytes received.
        """


@attrs.frozen
class StoreAnswer:
    """The status code and the decoded JSON body of a reply.

    ``era`` counts how often the store has come back from a copy.
    """

    status: int
    content: Any
    era: int = 0


@attrs.frozen
class _FinishedCall:
    """A finished call; ``started_at`` is its monotonic start time in seconds.

    ``answer`` is a text that describes the error if there was no reply.
    """

    name: str
    answer: StoreAnswer | str
    started_at: float


class StoreCalls:
    """Makes calls to the store at one address."""

    def __init__(self, address: str, on_call: CallObserver | None) -> None:
        """Store the address ``IP:PORT``; ``on_call`` is called after each call."""
        self._address = address
        self._on_call = on_call
        # The newest era that the store has stated.
        self.era = 0

    async def get(
        self,
        path: str,
        query: dict[str, Any],
        extra_wait_s: float = 0,
    ) -> StoreAnswer | str:
        """Make a GET call without the empty parameters of ``query``."""
        parameters = {key: value for key, value in query.items() if value != ''}
        return await self.call(
            'GET', f'{path}?{urlencode(parameters)}', extra_wait_s=extra_wait_s
        )

    async def post(self, path: str, body: Any) -> StoreAnswer | str:
        """Make a POST call with ``body`` as JSON, or without a body."""
        encoded = b'' if body is None else json.dumps(body).encode()
        return await self.call('POST', path, encoded)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        extra_wait_s: float = 0,
    ) -> StoreAnswer | str:
        """Make a call; returns the reply or a text that says what failed.

        ``extra_wait_s`` is added to the time-out, in seconds. Delays of this process
        don't count, since a late process would take the store for away.
        """
        started_at = time.monotonic()
        answer: StoreAnswer | str
        received = 0
        try:
            async with running_timeout(_CALL_TIMEOUT_S + extra_wait_s):
                answer, received = await self._exchange(method, target, body)
        except _CALL_ERRORS as error:
            answer = f'no answer: {error!r}'
        self._report_call(
            _FinishedCall(
                f'{method} {target.partition("?")[0]}', answer, started_at
            ),
            (len(target) + len(body), received),
        )
        return answer

    def _report_call(self, call: _FinishedCall, sizes: tuple[int, int]) -> None:
        """Log a call that failed, and notify the observer of any call."""
        took_s = time.monotonic() - call.started_at
        answer = call.answer
        answered = isinstance(answer, StoreAnswer)
        if isinstance(answer, str) or answer.status not in _EXPECTED_STATUSES:
            _log.info(
                'store_call_failed',
                call=call.name,
                took_s=round(took_s, 3),
                answer=str(answer),
            )
        if self._on_call is not None:
            self._on_call(took_s, sizes, answered=answered)

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[StoreAnswer, int]:
        """Send a request; return the reply and the size of its body."""
        headers = (
            (b'Host', self._address.encode()),
            (b'Content-Type', b'application/json'),
        )
        connection = await self._connect()
        with closing(connection):
            first_line = f'{method} {target} HTTP/1.1'.encode()
            head, raw = await connection.fetch(
                first_line, headers, body, _MAX_REPLY_BYTES
            )
        is_json = head.status == OK_STATUS and raw
        content = json.loads(raw) if is_json else None
        return StoreAnswer(head.status, content, self._note_era(head)), len(raw)

    async def _connect(self) -> PeerConnection:
        try:
            return await connect_peer(self._address, _CONNECT_TIMEOUT_S)
        except TimeoutError as error:
            raise TimeoutError('not connected in time') from error

    def _note_era(self, head: ReplyHead) -> int:
        """Return the era of a reply; the newest known one if it states none."""
        stated = find_header(head.headers, _ERA_HEADER)
        if stated is None:
            return self.era
        era = int(stated)
        if era > self.era:
            _log.warning('store_era_began', era=era, previous=self.era)
            self.era = era
        return era
