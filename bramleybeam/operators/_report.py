"""Reports revisions in force and outcomes of requests, for insurers.

It adds up the hourly records that the entries write to the key-value service.
"""

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
class RevisionInForce:
    """A revision in force on a process; ``since`` is in epoch seconds."""

    revision: int
    process: str
    since: float


@attrs.frozen
class Report:
    """Counts and revisions in force between two times.

    ``counts`` has keys such as ``moves``, ``class/CLASS/OUTCOME`` and
    ``refusal/KIND``; ``begin`` and ``end`` are in ISO format.
    """

    begin: str
    end: str
    counts: dict[str, int]
    in_force: tuple[RevisionInForce, ...]

    def classes(self) -> dict[str, dict[str, int]]:
        """Return the number of requests by class and outcome."""
        classes: dict[str, dict[str, int]] = {}
        for name, count in self.counts.items():
            section, _, rest = name.partition('/')
            if section == 'class':
                work_class, _, outcome = rest.rpartition('/')
                classes.setdefault(work_class, {})[outcome] = count
        return classes

    def refusals(self) -> dict[str, int]:
        """Return the number of refusals by kind."""
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
    """Add up the records of all entries in the hours from begin to end.

    Hours count as a whole, also if the range covers only part of them.
    """
    counts: Counter[str] = Counter()
    in_force: list[RevisionInForce] = []
    for hour in _list_hours(begin, end):
        for slot in range(HOURLY_REPORT_SLOTS):
            read = await store.get(hourly_report_key(hour, slot))
            if read.is_error():
                return Error(read.error)
            records = json.loads(read.ok.text) if read.ok else {}
            for process, record in records.items():
                counts.update(record['counts'])
                in_force += _list_in_force(process, record)
    in_force.sort(key=lambda activation: (activation.since, activation.process))
    return Ok(
        Report(
            begin.isoformat(), end.isoformat(), dict(counts), tuple(in_force)
        ),
    )


def report_to_dict(report: Report, accelerators: int) -> dict[str, Any]:
    """Return a report as plain data, as ``ctl report`` prints it."""
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
        'in_force': [
            attrs.asdict(activation) for activation in report.in_force
        ],
    }


def render_report_page(contents: dict[str, Any]) -> str:
    """Return the HTML page of a report made by ``report_to_dict``."""
    accelerators = max(1, contents['accelerators'])
    class_rows = ''.join(
        _html_row(
            (
                html.escape(name),
                class_counts.get('requests', 0),
                class_counts.get('met', 0),
                f'<meter min="0" max="1" value="{class_counts["attainment"]:.4f}"></meter> '
                f'{class_counts["attainment"]:.1%}',
                f'{class_counts["attainment"] / accelerators:.4f}',
            )
        )
        for name, class_counts in sorted(contents['classes'].items())
    )
    refusal_rows = ''.join(
        _html_row((html.escape(kind), count))
        for kind, count in sorted(contents['refusals'].items())
    )
    revision_rows = ''.join(
        _html_row(
            (
                activation['revision'],
                html.escape(activation['process']),
                activation['since'],
            )
        )
        for activation in contents['in_force']
    )
    return (
        '<!doctype html><meta charset="utf-8"><title>bramleybeam report</title>'
        f'<h1>Report from {contents["begin"]} to {contents["end"]}</h1>'
        f'<p>Moves: {contents["moves"]}. Accelerators: {accelerators}.</p>'
        '<h2>Targets</h2><table><tr><th>class<th>requests<th>met'
        f'<th>attainment<th>per accelerator</tr>{class_rows}</table>'
        f'<h2>Refusals</h2><table>{refusal_rows}</table>'
        '<h2>Configuration in force</h2><table><tr><th>revision<th>process'
        f'<th>since (epoch seconds)</tr>{revision_rows}</table>\n'
    )


def _html_row(cells: Iterable[object]) -> str:
    inner = ''.join(f'<td>{cell}</td>' for cell in cells)
    return f'<tr>{inner}</tr>'


def _attainment(counts: dict[str, int]) -> float:
    """Return the share of requests that met their target, from 0 to 1."""
    requests = counts.get('requests', 0)
    return counts.get('met', 0) / requests if requests else 0


def _list_in_force(
    process: str, record: dict[str, Any]
) -> Iterator[RevisionInForce]:
    for revision, since in record['revisions']:
        yield RevisionInForce(revision, process, since)


def _list_hours(begin: datetime, end: datetime) -> Iterator[str]:
    hour = begin.replace(minute=0, second=0, microsecond=0)
    while hour <= end:
        yield hour.strftime('%Y-%m-%dT%H')
        hour += _HOUR
