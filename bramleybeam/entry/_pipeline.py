"""Request pipeline: the filters in order, dispatch, then statistics."""

from collections.abc import AsyncIterator, Sequence

from expression import Error, Ok, Result

from bramleybeam.entry._dispatcher import Dispatcher
from bramleybeam.entry._duplicates import DuplicateFilter
from bramleybeam.entry._exchange import (
    AnswerPart,
    Exchange,
    RequestRefusedError,
)
from bramleybeam.entry._filters import Filter
from bramleybeam.entry._statistics import RequestStatistics
from bramleybeam.errors import Refusal
from bramleybeam.telemetry import Tracing

AnswerParts = AsyncIterator[AnswerPart]


class Pipeline:
    """Runs each exchange through the filters and dispatches it.

    The filters are, in order: authentication, classification, admission,
    quarantine and the duplicate check. The dispatcher chooses an upstream,
    sends the request and relays the answer. Statistics are recorded last,
    however the exchange ends.
    """

    def __init__(
        self,
        filters: Sequence[Filter],
        dispatcher: Dispatcher,
        duplicates: DuplicateFilter,
        statistics: RequestStatistics,
        tracing: Tracing,
    ) -> None:
        """Store the steps; ``filters`` run in the given order."""
        self.in_flight = 0
        self._filters = tuple(filters)
        self._dispatcher = dispatcher
        self._duplicates = duplicates
        self._statistics = statistics
        self._tracing = tracing

    async def open(self, exchange: Exchange) -> Result[AnswerParts, Refusal]:
        """Start an exchange and wait for the first part of its answer.

        Returns an iterator over all parts, or the refusal. A refusal after
        the first part is raised by the iterator as ``RequestRefusedError``.
        """
        self.in_flight += 1
        self._start_span(exchange)
        refusal = await self._apply_filters(exchange)
        if refusal is not None:
            await self._finish(exchange, refusal)
            return Error(refusal)
        parts = self._dispatcher.stream(exchange)
        try:
            first_part = await anext(parts)
        except RequestRefusedError as refused_error:
            await self._finish(exchange, refused_error.refusal)
            return Error(refused_error.refusal)
        except BaseException:
            await self._finish(exchange, None)
            raise
        return Ok(self._relay(exchange, first_part, parts))

    async def _apply_filters(self, exchange: Exchange) -> Refusal | None:
        for request_filter in self._filters:
            outcome = await request_filter.apply(exchange)
            if outcome.is_error():
                return outcome.error
        return None

    async def _relay(
        self,
        exchange: Exchange,
        first_part: AnswerPart,
        parts: AnswerParts,
    ) -> AnswerParts:
        refusal = None
        try:
            yield first_part
            async for part in parts:
                yield part
        except RequestRefusedError as refused_error:
            refusal = refused_error.refusal
            raise
        finally:
            await self._finish(exchange, refusal)

    async def _finish(
        self,
        exchange: Exchange,
        refusal: Refusal | None,
    ) -> None:
        exchange.refusal = refusal
        self._tracing.finish(exchange.span, refusal.kind if refusal else '')
        await self._duplicates.settle(exchange)
        await self._statistics.add(exchange)
        self.in_flight -= 1

    def _start_span(self, exchange: Exchange) -> None:
        parent = exchange.headers.get('traceparent', '')
        exchange.span = self._tracing.start(
            'entry.request', parent, server=True
        )
        exchange.traceparent = self._tracing.traceparent(exchange.span, parent)
