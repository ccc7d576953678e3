"""The insurer's proof: what was in force, and what came of the requests."""

import html
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any

import attrs
from expression import Error, Ok, Result

from bramleybeam.entry import HOURLY_REPORT_SLOTS, hourly_report_key
from bramleybeam.keyvalue import KeyValue, Unavailable

_HOUR = timedelta(hours=1)


@attrs.frozen
class InForce:
    """From when a process had a revision in force, in epoch seconds."""

    revision: int
    process: str
    since: float


@attrs.frozen
class Report:
    """Everything between two moments; counts by class and by refusal."""

    begin: str
    end: str
    counts: dict[str, int]
    in_force: tuple[InForce, ...]

    def classes(self) -> dict[str, dict[str, int]]:
        """Return the counts of each class."""
        classes: dict[str, dict[str, int]] = {}
        for name, count in self.counts.items():
            section, _, rest = name.partition('/')
            if section == 'class':
                work_class, _, outcome = rest.rpartition('/')
                classes.setdefault(work_class, {})[outcome] = count
        return classes

    def refusals(self) -> dict[str, int]:
        """Return the refusals by kind."""
        return {
            name.removeprefix('refusal/'): count
            for name, count in self.counts.items()
            if name.startswith('refusal/')
        }


async def read_report(
    store: KeyValue,
    begin: datetime,
    end: datetime,
) -> Result[Report, Unavailable]:
    """Add up what the entries wrote in the hours from begin to end."""
    counts: Counter[str] = Counter()
    in_force: list[InForce] = []
    for hour in _list_hours(begin, end):
        for slot in range(HOURLY_REPORT_SLOTS):
            read = await store.get(hourly_report_key(hour, slot))
            if read.is_error():
                return Error(read.error)
            records = json.loads(read.ok.text) if read.ok else {}
            for process, record in records.items():
                counts.update(record['counts'])
                in_force += _list_in_force(process, record)
    in_force.sort(key=lambda one: (one.since, one.process))
    return Ok(
        Report(
            begin.isoformat(), end.isoformat(), dict(counts), tuple(in_force)
        ),
    )


def report_json(report: Report, accelerators: int) -> dict[str, Any]:
    """Shape a report for programs."""
    return {
        'begin': report.begin,
        'end': report.end,
        'accelerators': accelerators,
        'moves': report.counts.get('moves', 0),
        'refusals': report.refusals(),
        'classes': {
            name: {**counts, 'attainment': _attainment(counts)}
            for name, counts in report.classes().items()
        },
        'in_force': [attrs.asdict(one) for one in report.in_force],
    }


def report_page(shaped: dict[str, Any]) -> str:
    """Shape a report as a readable page."""
    accelerators = max(1, shaped['accelerators'])
    class_rows = ''.join(
        _row(
            (
                html.escape(name),
                one.get('requests', 0),
                one.get('met', 0),
                f'<meter min="0" max="1" value="{one["attainment"]:.4f}"></meter> '
                f'{one["attainment"]:.1%}',
                f'{one["attainment"] / accelerators:.4f}',
            )
        )
        for name, one in sorted(shaped['classes'].items())
    )
    refusal_rows = ''.join(
        _row((html.escape(kind), count))
        for kind, count in sorted(shaped['refusals'].items())
    )
    force_rows = ''.join(
        _row((one['revision'], html.escape(one['process']), one['since']))
        for one in shaped['in_force']
    )
    return (
        '<!doctype html><meta charset="utf-8"><title>bramleybeam report</title>'
        f'<h1>Report from {shaped["begin"]} to {shaped["end"]}</h1>'
        f'<p>Moves: {shaped["moves"]}. Accelerators: {accelerators}.</p>'
        '<h2>Targets</h2><table><tr><th>class<th>requests<th>met'
        f'<th>attainment<th>per accelerator</tr>{class_rows}</table>'
        f'<h2>Refusals</h2><table>{refusal_rows}</table>'
        '<h2>Configuration in force</h2><table><tr><th>revision<th>process'
        f'<th>since (epoch seconds)</tr>{force_rows}</table>\n'
    )


def _row(cells: Iterable[object]) -> str:
    inner = ''.join(f'<td>{cell}</td>' for cell in cells)
    return f'<tr>{inner}</tr>'


def _attainment(counts: dict[str, int]) -> float:
    requests = counts.get('requests', 0)
    return counts.get('met', 0) / requests if requests else 0


def _list_in_force(process: str, record: dict[str, Any]) -> Iterator[InForce]:
    for revision, since in record['revisions']:
        yield InForce(revision, process, since)


def _list_hours(begin: datetime, end: datetime) -> Iterator[str]:
    hour = begin.replace(minute=0, second=0, microsecond=0)
    while hour <= end:
        yield hour.strftime('%Y-%m-%dT%H')
        hour += _HOUR
