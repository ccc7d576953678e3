"""Finds models and adapters that were requested and never served, in logs.

It counts the requests and load orders of each of them.
"""

import re
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Final

import attrs

from bramleybeam.operators._trace import TraceLine
from bramleybeam.orders import has_enough_samples

# The repr of an order that concerns a model, or one of its adapters.
_ORDER_PATTERN: Final = re.compile(
    r"(?P<kind>\w+)\(replica='[^']*', model='(?P<model>[^']*)'"
    r"(?:, adapter='(?P<adapter>[^']*)')?"
)


@attrs.define
class TargetHistory:
    """Outcomes of the requests for a model, or for one of its adapters.

    ``adapter`` is empty for the model itself. ``asks`` counts requests, and
    ``answered`` those that were served. ``loads`` and ``unloads`` count
    orders that were accepted. ``first`` and ``last`` are the times at which
    the first and the last request ended.
    """

    model: str
    adapter: str
    asks: int = 0
    answered: int = 0
    loads: int = 0
    unloads: int = 0
    first: datetime | None = None
    last: datetime | None = None

    @property
    def span_s(self) -> float:
        """Seconds from the end of the first request to that of the last."""
        if self.first is None or self.last is None:
            return 0
        return (self.last - self.first).total_seconds()

    def note_request(self, line: TraceLine) -> None:
        """Count a request that was answered or refused."""
        self.asks += 1
        self.answered += line.event == 'answered'
        self.first = min(self.first or line.timestamp, line.timestamp)
        self.last = max(self.last or line.timestamp, line.timestamp)

    def note_order(self, kind: str) -> None:
        """Count an accepted order if it loads or unloads the target."""
        self.loads += kind.startswith('Load')
        self.unloads += kind.startswith('Unload')


def read_histories(lines: Iterable[TraceLine]) -> list[TargetHistory]:
    """Return the targets with enough requests over a long enough time.

    Those with the fewest answered requests come first. A retry after a
    refusal counts as a further request.
    """
    histories: dict[tuple[str, str], TargetHistory] = {}
    for line in lines:
        if line.event in {'answered', 'refused'}:
            target = _target_of(line.details)
            if target[0]:
                _history_of(histories, target).note_request(line)
        elif line.event == 'order_given':
            _note_order(histories, line)
    sampled = [
        history
        for history in histories.values()
        if has_enough_samples(history.asks, history.span_s)
    ]
    return sorted(sampled, key=_sort_key_of)


def _target_of(details: Mapping[str, object]) -> tuple[str, str]:
    return str(details.get('model', '')), str(details.get('adapter', ''))


def _note_order(
    histories: dict[tuple[str, str], TargetHistory],
    line: TraceLine,
) -> None:
    order_match = _ORDER_PATTERN.match(str(line.details.get('order', '')))
    if order_match and 'Accepted' in str(line.details.get('outcome', '')):
        target = order_match['model'], order_match['adapter'] or ''
        _history_of(histories, target).note_order(order_match['kind'])


def _history_of(
    histories: dict[tuple[str, str], TargetHistory],
    target: tuple[str, str],
) -> TargetHistory:
    return histories.setdefault(target, TargetHistory(*target))


def _sort_key_of(history: TargetHistory) -> tuple[int, int, str, str]:
    return (history.answered, -history.asks, history.model, history.adapter)
