"""Request statistics: counts how each exchange ended."""

import time
from collections import Counter, OrderedDict
from typing import Final

import attrs
import structlog

from bramleybeam.entry._exchange import Exchange
from bramleybeam.telemetry import Metrics

# Number of finished requests whose records are kept.
_MAX_RECORDS: Final = 5000
_log = structlog.get_logger('statistics')


@attrs.define
class ClassCounts:
    """Number of requests of one class of work, by outcome.

    ``unknown`` includes requests that the caller cancelled.
    """

    requests: int = 0
    met: int = 0
    late: int = 0
    refused: int = 0
    unknown: int = 0


@attrs.frozen
class RequestRecord:
    """Record of a finished request for ``ctl explain``; times in seconds."""

    request_id: str
    caller: str
    work_class: str
    target: str
    upstreams: tuple[str, ...]
    attempts: int
    outcome: str
    message: str
    first_token_s: float | None
    tokens: int


class RequestStatistics:
    """Counts by class and refusal kind, and records of the last requests."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with all counts at zero."""
        self.class_counts: dict[str, ClassCounts] = {}
        self.refusals: Counter[str] = Counter()
        self._metrics = metrics
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a recent request of this entry, if kept."""
        return self._records.get(request_id)

    async def add(self, exchange: Exchange) -> None:
        """Count, record and log an exchange that has ended."""
        name = exchange.work_class.name if exchange.work_class else 'none'
        outcome = _outcome_of(exchange)
        self._count_outcome(name, outcome)
        if exchange.refusal is not None:
            self.refusals[str(exchange.refusal.kind)] += 1
        self._metrics.requests.inc({'class': name, 'outcome': outcome})
        first_token_s = None
        if exchange.first_token_at:
            first_token_s = exchange.first_token_at - exchange.received_at
            self._metrics.first_token.observe({'class': name}, first_token_s)
        self._observe_token_gap(exchange, name)
        record = RequestRecord(
            request_id=exchange.request_id,
            caller=exchange.caller,
            work_class=name,
            target=exchange.target,
            upstreams=tuple(exchange.upstreams),
            attempts=exchange.attempts,
            outcome=outcome,
            message=exchange.refusal.message if exchange.refusal else '',
            first_token_s=first_token_s,
            tokens=exchange.offset,
        )
        self._records[exchange.request_id] = record
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)
        _log.info('request', **attrs.asdict(record))

    def _observe_token_gap(self, exchange: Exchange, name: str) -> None:
        """Observe the mean time between the tokens of a complete answer."""
        if exchange.answer_end is None or exchange.kind == 'service':
            return
        gaps = exchange.offset - 1
        if gaps > 0:
            elapsed_s = time.monotonic() - exchange.first_token_at
            self._metrics.token_gap.observe({'class': name}, elapsed_s / gaps)

    def _count_outcome(self, name: str, outcome: str) -> None:
        counts = self.class_counts.setdefault(name, ClassCounts())
        counts.requests += 1
        match outcome:
            case 'met':
                counts.met += 1
            case 'late':
                counts.late += 1
            case 'unknown' | 'cancelled':
                counts.unknown += 1
            case _:
                counts.refused += 1


def _outcome_of(exchange: Exchange) -> str:
    if exchange.refusal is not None:
        if exchange.refusal.execution == 'outcome_unknown':
            return 'unknown'
        return str(exchange.refusal.kind)
    if exchange.answer_end is None:
        return 'cancelled'
    return 'met' if exchange.met_target else 'late'
