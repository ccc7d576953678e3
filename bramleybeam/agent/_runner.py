"""Runs one attempt at the upstream and turns its events into frames."""

import time
from typing import Final

import attrs
import structlog

from bramleybeam.agent._adapters import AdapterCache
from bramleybeam.agent._crashes import CrashWatch
from bramleybeam.agent._events import (
    Event,
    Finished,
    Lost,
    NotRun,
    Started,
    Text,
)
from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import Relay
from bramleybeam.agent._upstream import UpstreamClient
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.errors import ErrorKind
from bramleybeam.links import Accepted, Chunk, Dispatch, End, Failed, Refused
from bramleybeam.telemetry import Tracing

_SMOOTHING: Final = 0.1
_BUSY_RETRY_MS: Final = 200
_MILLISECONDS: Final = 1000
_log = structlog.get_logger('runner')


@attrs.define
class Pace:
    """Smoothed times that the agent sees at its upstream, in seconds."""

    step_s: float = 0
    first_token_s: float = 0

    def note_first(self, elapsed: float) -> None:
        """Take in a time to the first token."""
        self.first_token_s = _smooth(self.first_token_s, elapsed)

    def note_step(self, elapsed: float) -> None:
        """Take in a time between tokens."""
        self.step_s = _smooth(self.step_s, elapsed)


class AttemptRunner:
    """Gives attempts to the upstream, at most once each."""

    def __init__(
        self,
        upstream: UpstreamClient,
        executor: OrderExecutor,
        adapters: AdapterCache,
        keeper: ConfigurationKeeper,
        tracing: Tracing,
        crashes: CrashWatch,
    ) -> None:
        """Store the parts that an attempt passes through."""
        self.pace = Pace()
        self._crashes = crashes
        self._upstream = upstream
        self._executor = executor
        self._adapters = adapters
        self._keeper = keeper
        self._tracing = tracing

    async def run(self, relay: Relay) -> Refused | None:
        """Run an attempt to its end; a ``Refused`` proves that it never ran."""
        dispatch = relay.dispatch
        span = self._tracing.start(
            'agent.relay',
            dispatch.traceparent,
            server=True,
        )
        dispatch.traceparent = self._tracing.traceparent(
            span,
            dispatch.traceparent,
        )
        refused = await self._prepare(dispatch)
        if refused is None:
            refused = await self._relay(relay)
        self._tracing.finish(span, refused.kind if refused else '')
        return refused

    async def cancel(self, relay: Relay) -> None:
        """Tell the upstream to stop an attempt."""
        await self._upstream.cancel(relay.dispatch.request_id)

    async def _prepare(self, dispatch: Dispatch) -> Refused | None:
        if dispatch.kind == 'service':
            return None
        if not self._executor.is_ready(dispatch.base_model):
            return refused(
                dispatch,
                ErrorKind.NO_READY_UPSTREAM,
                f'{dispatch.base_model} is not resident here.',
            )
        if dispatch.target == dispatch.base_model:
            return None
        document = self._keeper.document
        adapters = document.adapters_by_name if document else {}
        adapter = adapters.get(dispatch.target)
        limit = dispatch.deadline_ms / _MILLISECONDS
        if adapter is None or not await self._adapters.ensure(adapter, limit):
            return refused(
                dispatch,
                ErrorKind.NO_READY_UPSTREAM,
                f'Adapter {dispatch.target} cannot be loaded here now.',
            )
        return None

    async def _relay(self, relay: Relay) -> Refused | None:
        dispatch = relay.dispatch
        relay.upstream_has_it = True
        span = self._tracing.start(
            'agent.upstream',
            dispatch.traceparent,
            server=False,
        )
        dispatch.traceparent = self._tracing.traceparent(
            span,
            dispatch.traceparent,
        )
        is_service = dispatch.kind == 'service'
        source = self._upstream.request if is_service else self._upstream.infer
        last = time.monotonic()
        first = True
        status = 0
        headers = ''
        try:
            async for event in source(dispatch):
                match event:
                    case Started():
                        status = event.status
                        headers = event.content_type
                        _send_accepted(relay)
                    case Text():
                        now = time.monotonic()
                        self._note_pace(event, now - last, first=first)
                        last = now
                        first = False
                        relay.add(_chunk(dispatch, event))
                    case Finished():
                        relay.end(_end(dispatch, event, status, headers))
                        return None
                    case NotRun():
                        return _refused_by_upstream(dispatch, event)
                    case Lost():
                        await self._fail(relay, event)
                        return None
        finally:
            self._tracing.finish(span)
        return None

    def _note_pace(self, event: Text, elapsed: float, *, first: bool) -> None:
        if first:
            self.pace.note_first(elapsed)
        else:
            self.pace.note_step(elapsed / max(1, event.count))

    async def _fail(self, relay: Relay, event: Lost) -> None:
        dispatch = relay.dispatch
        crashed = event.crashed and await self._crashes.confirm()
        _log.warning(
            'upstream_lost',
            request=dispatch.request_id,
            reason=event.reason,
            crashed=crashed,
        )
        offset = sum(chunk.count for chunk in relay.chunks)
        relay.end(
            Failed(
                request_id=dispatch.request_id,
                attempt=dispatch.attempt,
                offset=dispatch.resume_from + offset,
                kind=ErrorKind.UPSTREAM_LOST,
                message=event.reason,
                upstream_crashed=crashed,
            ),
        )


def refused(
    dispatch: Dispatch,
    kind: ErrorKind,
    message: str,
    retry_after_ms: int = _BUSY_RETRY_MS,
) -> Refused:
    """Make the proof that an attempt did not run."""
    return Refused(
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        kind=kind,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def _refused_by_upstream(dispatch: Dispatch, event: NotRun) -> Refused:
    if event.busy:
        return refused(dispatch, ErrorKind.NO_READY_UPSTREAM, event.reason)
    return refused(dispatch, ErrorKind.UPSTREAM_REFUSED, event.reason, 0)


def _send_accepted(relay: Relay) -> None:
    if relay.link is not None:
        request_id, attempt = relay.attempt_id
        relay.link.send(Accepted(request_id=request_id, attempt=attempt))


def _chunk(dispatch: Dispatch, event: Text) -> Chunk:
    return Chunk(
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        offset=event.offset,
        count=event.count,
        body=event.body,
    )


def _end(
    dispatch: Dispatch,
    event: Finished,
    status: int,
    headers: str,
) -> End:
    return End(
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        offset=event.offset,
        finish_reason=event.reason,
        prompt_tokens=event.prompt_tokens,
        cached_tokens=event.cached_tokens,
        status=status,
        headers=headers,
    )


def _smooth(known: float, seen: float) -> float:
    if not known:
        return seen
    return known + _SMOOTHING * (seen - known)


__all__ = ['AttemptRunner', 'Event', 'Pace', 'refused']
