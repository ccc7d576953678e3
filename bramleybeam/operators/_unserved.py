"""Finds models and adapters that were asked for and never served, from logs."""

import re
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Final

import attrs

from bramleybeam.operators._trace import TraceLine
from bramleybeam.orders import has_enough_samples

_ORDER: Final = re.compile(
    r"(?P<kind>\w+)\(replica='[^']*', model='(?P<model>[^']*)'"
    r"(?:, adapter='(?P<adapter>[^']*)')?"
)


@attrs.define
class TargetHistory:
    """What became of the requests for a model, or one of its adapters.

    ``loads`` and ``unloads`` count orders that were accepted; the moments are
    those of the first and the last end of a request.
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
        """Seconds over which it was asked for."""
        if self.first is None or self.last is None:
            return 0
        return (self.last - self.first).total_seconds()

    def note_ask(self, line: TraceLine) -> None:
        """Count a request that was answered or refused."""
        self.asks += 1
        self.answered += line.event == 'answered'
        self.first = min(self.first or line.moment, line.moment)
        self.last = max(self.last or line.moment, line.moment)

    def note_order(self, kind: str) -> None:
        """Count an order that concerns it."""
        self.loads += kind.startswith('Load')
        self.unloads += kind.startswith('Unload')


def read_histories(lines: Iterable[TraceLine]) -> list[TargetHistory]:
    """Return the targets that were asked for through the time of the logs.

    Those that were answered least come first. A caller that comes back after
    a refusal counts as a further request.
    """
    histories: dict[tuple[str, str], TargetHistory] = {}
    for line in lines:
        if line.event in {'answered', 'refused'}:
            target = _target_of(line.details)
            if target[0]:
                _history(histories, target).note_ask(line)
        elif line.event == 'order_given':
            _note_order(histories, line)
    judged = [
        one
        for one in histories.values()
        if has_enough_samples(one.asks, one.span_s)
    ]
    return sorted(judged, key=_rank_of)


def _target_of(details: Mapping[str, object]) -> tuple[str, str]:
    return str(details.get('model', '')), str(details.get('adapter', ''))


def _note_order(
    histories: dict[tuple[str, str], TargetHistory],
    line: TraceLine,
) -> None:
    found = _ORDER.match(str(line.details.get('order', '')))
    if found and 'Accepted' in str(line.details.get('outcome', '')):
        target = found['model'], found['adapter'] or ''
        _history(histories, target).note_order(found['kind'])


def _history(
    histories: dict[tuple[str, str], TargetHistory],
    target: tuple[str, str],
) -> TargetHistory:
    return histories.setdefault(target, TargetHistory(*target))


def _rank_of(one: TargetHistory) -> tuple[int, int, str, str]:
    return one.answered, -one.asks, one.model, one.adapter
