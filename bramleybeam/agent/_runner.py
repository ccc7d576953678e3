"""Runs attempts on the upstream and converts its events to frames."""

import time
from typing import Final

import attrs
import structlog

from bramleybeam.agent._adapters import AdapterCache
from bramleybeam.agent._crashes import CrashDetector
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

# Weight of a new sample in the exponential averages.
_SMOOTHING_FACTOR: Final = 0.1
_BUSY_RETRY_AFTER_MS: Final = 200
_MS_PER_S: Final = 1000
_log = structlog.get_logger('runner')


@attrs.define
class LatencyAverages:
    """Exponential averages of the upstream's latency, in seconds.

    ``step_s`` is the time between tokens.
    """

    step_s: float = 0
    first_token_s: float = 0

    def note_first_token(self, elapsed_s: float) -> None:
        """Update the average with a time to the first token."""
        self.first_token_s = _update_average(self.first_token_s, elapsed_s)

    def note_step(self, elapsed_s: float) -> None:
        """Update the average with a time between tokens."""
        self.step_s = _update_average(self.step_s, elapsed_s)


class AttemptRunner:
    """Sends each attempt to the upstream at most once."""

    def __init__(
        self,
        upstream: UpstreamClient,
        executor: OrderExecutor,
        adapters: AdapterCache,
        keeper: ConfigurationKeeper,
        tracing: Tracing,
        crash_detector: CrashDetector,
    ) -> None:
        """Store the parts that run an attempt."""
        self.latency = LatencyAverages()
        self._crash_detector = crash_detector
        self._upstream = upstream
        self._executor = executor
        self._adapters = adapters
        self._keeper = keeper
        self._tracing = tracing

    async def run(self, relay: Relay) -> Refused | None:
        """Run an attempt to its end.

        Returns ``None`` after the attempt has ended in its relay, or a
        ``Refused`` frame if the upstream certainly did not run it.
        """
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
        refusal = await self._prepare(dispatch)
        if refusal is None:
            refusal = await self._relay_events(relay)
        self._tracing.finish(span, refusal.kind if refusal else '')
        return refusal

    async def cancel(self, relay: Relay) -> None:
        """Ask the upstream to stop an attempt."""
        await self._upstream.cancel(relay.dispatch.request_id)

    async def _prepare(self, dispatch: Dispatch) -> Refused | None:
        if dispatch.kind == 'service':
            return None
        if not self._executor.is_ready(dispatch.base_model):
            return make_refused(
                dispatch,
                ErrorKind.NO_READY_UPSTREAM,
                f'{dispatch.base_model} is not resident here.',
            )
        if dispatch.target == dispatch.base_model:
            return None
        document = self._keeper.document
        adapters = document.adapters_by_name if document else {}
        adapter = adapters.get(dispatch.target)
        timeout_s = dispatch.deadline_ms / _MS_PER_S
        if adapter is None or not await self._adapters.ensure_ready(
            adapter, timeout_s
        ):
            return make_refused(
                dispatch,
                ErrorKind.NO_READY_UPSTREAM,
                f'Adapter {dispatch.target} cannot be loaded here now.',
            )
        return None

    async def _relay_events(self, relay: Relay) -> Refused | None:
        dispatch = relay.dispatch
        relay.sent_to_upstream = True
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
        open_stream = (
            self._upstream.request if is_service else self._upstream.infer
        )
        previous_at = time.monotonic()
        is_first = True
        status = 0
        # The content type: ``End`` carries it in its field ``headers``.
        headers = ''
        try:
            async for event in open_stream(dispatch):
                match event:
                    case Started():
                        status = event.status
                        headers = event.content_type
                        _send_accepted(relay)
                    case Text():
                        now = time.monotonic()
                        self._note_latency(
                            event, now - previous_at, is_first=is_first
                        )
                        previous_at = now
                        is_first = False
                        relay.add(_make_chunk(dispatch, event))
                    case Finished():
                        relay.end(_make_end(dispatch, event, status, headers))
                        return None
                    case NotRun():
                        return _make_upstream_refusal(dispatch, event)
                    case Lost():
                        await self._handle_lost(relay, event)
                        return None
        finally:
            self._tracing.finish(span)
        return None

    def _note_latency(
        self, event: Text, elapsed_s: float, *, is_first: bool
    ) -> None:
        if is_first:
            self.latency.note_first_token(elapsed_s)
        else:
            self.latency.note_step(elapsed_s / max(1, event.count))

    async def _handle_lost(self, relay: Relay, event: Lost) -> None:
        dispatch = relay.dispatch
        crashed = event.crashed and await self._crash_detector.confirm_crash()
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


def make_refused(
    dispatch: Dispatch,
    kind: ErrorKind,
    message: str,
    retry_after_ms: int = _BUSY_RETRY_AFTER_MS,
) -> Refused:
    """Return the frame which states that an attempt did not run."""
    return Refused(
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        kind=kind,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def _make_upstream_refusal(dispatch: Dispatch, event: NotRun) -> Refused:
    if event.busy:
        return make_refused(dispatch, ErrorKind.NO_READY_UPSTREAM, event.reason)
    return make_refused(dispatch, ErrorKind.UPSTREAM_REFUSED, event.reason, 0)


def _send_accepted(relay: Relay) -> None:
    if relay.link is not None:
        request_id, attempt = relay.attempt_id
        relay.link.send(Accepted(request_id=request_id, attempt=attempt))


def _make_chunk(dispatch: Dispatch, event: Text) -> Chunk:
    return Chunk(
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        offset=event.offset,
        count=event.count,
        body=event.body,
    )


def _make_end(
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


def _update_average(average_s: float, sample_s: float) -> float:
    if not average_s:
        return sample_s
    return average_s + _SMOOTHING_FACTOR * (sample_s - average_s)


__all__ = ['AttemptRunner', 'Event', 'LatencyAverages', 'make_refused']
