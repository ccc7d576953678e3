"""Counts how each exchange ended: the last step of the pipeline."""

import time
from collections import Counter, OrderedDict
from typing import Final

import attrs
import structlog

from bramleybeam.entry._exchange import Exchange
from bramleybeam.telemetry import Metrics

_KEPT_TRAILS: Final = 5000
_log = structlog.get_logger('account')


@attrs.define
class ClassTally:
    """Requests of one class by how they ended."""

    requests: int = 0
    met: int = 0
    late: int = 0
    refused: int = 0
    unknown: int = 0


@attrs.frozen
class Trail:
    """What ``ctl explain`` tells of a request; times in seconds."""

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


class Account:
    """Keeps tallies by class and the trails of the last requests."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with nothing counted."""
        self.tallies: dict[str, ClassTally] = {}
        self.refusals: Counter[str] = Counter()
        self._metrics = metrics
        self._trails: OrderedDict[str, Trail] = OrderedDict()

    def find(self, request_id: str) -> Trail | None:
        """Return the trail of a recent request of this entry."""
        return self._trails.get(request_id)

    async def close(self, exchange: Exchange) -> None:
        """Count an exchange that has ended."""
        name = exchange.work_class.name if exchange.work_class else 'none'
        outcome = _outcome(exchange)
        self._tally(name, outcome)
        if exchange.refusal is not None:
            self.refusals[str(exchange.refusal.kind)] += 1
        self._metrics.requests.inc({'class': name, 'outcome': outcome})
        first_token_s = None
        if exchange.first_token_at:
            first_token_s = exchange.first_token_at - exchange.received_at
            self._metrics.first_token.observe({'class': name}, first_token_s)
        self._observe_gap(exchange, name)
        trail = Trail(
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
        self._trails[exchange.request_id] = trail
        if len(self._trails) > _KEPT_TRAILS:
            self._trails.popitem(last=False)
        _log.info('request', **attrs.asdict(trail))

    def _observe_gap(self, exchange: Exchange, name: str) -> None:
        """Note the mean time between the tokens of a whole answer."""
        if exchange.ending is None or exchange.kind == 'service':
            return
        gaps = exchange.offset - 1
        if gaps > 0:
            elapsed = time.monotonic() - exchange.first_token_at
            self._metrics.token_gap.observe({'class': name}, elapsed / gaps)

    def _tally(self, name: str, outcome: str) -> None:
        tally = self.tallies.setdefault(name, ClassTally())
        tally.requests += 1
        match outcome:
            case 'met':
                tally.met += 1
            case 'late':
                tally.late += 1
            case 'unknown' | 'cancelled':
                tally.unknown += 1
            case _:
                tally.refused += 1


def _outcome(exchange: Exchange) -> str:
    if exchange.refusal is not None:
        if exchange.refusal.execution == 'outcome_unknown':
            return 'unknown'
        return str(exchange.refusal.kind)
    if exchange.ending is None:
        return 'cancelled'
    return 'met' if exchange.met_target else 'late'
