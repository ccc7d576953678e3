"""The way of a request: the filters in order, then delivery, then account."""

from collections.abc import AsyncIterator, Sequence

from expression import Error, Ok, Result

from bramleybeam.entry._account import Account
from bramleybeam.entry._deliver import Deliver
from bramleybeam.entry._duplicates import CheckDuplicates
from bramleybeam.entry._exchange import Ending, Exchange, Piece, Refusing
from bramleybeam.entry._filters import Filter
from bramleybeam.errors import Refusal
from bramleybeam.telemetry import Tracing

Parts = AsyncIterator[Piece | Ending]


class Pipeline:
    """Runs each exchange through the filters and delivers its answer.

    The filters are, in order: identify, classify, admit, quarantine, check
    duplicates. Delivery chooses an upstream, dispatches and relays; account comes last,
    however the exchange ends.
    """

    def __init__(
        self,
        filters: Sequence[Filter],
        deliver: Deliver,
        duplicates: CheckDuplicates,
        account: Account,
        tracing: Tracing,
    ) -> None:
        """Store the steps."""
        self.in_flight = 0
        self._filters = tuple(filters)
        self._deliver = deliver
        self._duplicates = duplicates
        self._account = account
        self._tracing = tracing

    async def open(self, exchange: Exchange) -> Result[Parts, Refusal]:
        """Start an exchange; ``Ok`` once the first part of the answer is here.

        A refusal that comes later than the first part is raised by the
        iterator as ``Refusing``.
        """
        self.in_flight += 1
        self._start_span(exchange)
        refusal = await self._filter(exchange)
        if refusal is not None:
            await self._close(exchange, refusal)
            return Error(refusal)
        parts = self._deliver.stream(exchange)
        try:
            first = await anext(parts)
        except Refusing as refusing:
            await self._close(exchange, refusing.refusal)
            return Error(refusing.refusal)
        except BaseException:
            await self._close(exchange, None)
            raise
        return Ok(self._relay(exchange, first, parts))

    async def _filter(self, exchange: Exchange) -> Refusal | None:
        for step in self._filters:
            outcome = await step.apply(exchange)
            if outcome.is_error():
                return outcome.error
        return None

    async def _relay(
        self,
        exchange: Exchange,
        first: Piece | Ending,
        parts: Parts,
    ) -> Parts:
        refusal = None
        try:
            yield first
            async for part in parts:
                yield part
        except Refusing as refusing:
            refusal = refusing.refusal
            raise
        finally:
            await self._close(exchange, refusal)

    async def _close(
        self,
        exchange: Exchange,
        refusal: Refusal | None,
    ) -> None:
        exchange.refusal = refusal
        self._tracing.finish(exchange.span, refusal.kind if refusal else '')
        await self._duplicates.settle(exchange)
        await self._account.close(exchange)
        self.in_flight -= 1

    def _start_span(self, exchange: Exchange) -> None:
        sent = exchange.headers.get('traceparent', '')
        exchange.span = self._tracing.start('entry.request', sent, server=True)
        exchange.traceparent = self._tracing.traceparent(exchange.span, sent)
