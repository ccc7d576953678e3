"""Selects the log lines of one request and those that explain it."""

import json
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime, timedelta
from typing import Any, Final

import attrs

# Lines of this period before a request may explain its outcome.
_PRECEDING_PERIOD: Final = timedelta(seconds=10)
# Fields that every line has; they are not shown as details.
_COMMON_FIELDS: Final = frozenset(
    ('event', 'timestamp', 'process', 'role', 'level')
)
# Events that concern all requests of a process; their lines name no replica
# or model.
_PROCESS_EVENTS: Final = frozenset(
    (
        'configuration_in_force',
        'lines_dropped',
        'planner_cut_off',
        'planner_elected',
        'planner_fenced',
        'planner_superseded',
        'started',
        'stopped',
        'stopping',
        'store_lost',
        'store_regained',
    ),
)


@attrs.frozen
class TraceLine:
    """A log line: its time, process and event, and its other fields."""

    timestamp: datetime
    process: str
    event: str
    details: Mapping[str, Any]

    def mentions(self, name: str) -> bool:
        """Return whether a detail equals a name or contains it in quotes.

        Orders are logged with ``repr``, which quotes the names in them.
        """
        return any(
            detail == name
            or (isinstance(detail, str) and f"'{name}'" in detail)
            for detail in self.details.values()
        )


def parse_lines(texts: Iterable[str]) -> Iterator[TraceLine]:
    """Yield the lines that can be parsed, ignoring text before the JSON."""
    for text in texts:
        line = _parse_line(text)
        if line is not None:
            yield line


def trace_request(
    lines: Iterable[TraceLine],
    request_id: str,
) -> list[TraceLine]:
    """Return the lines of a request and those that explain it, by time.

    The latter are written between a few seconds before the first line of the
    request and its last line. They are the lines of any process that name a
    replica or model of the request, and the lines of its own processes about
    the store, the planner and the configuration.
    """
    sorted_lines = sorted(lines, key=_timestamp_of)
    request_lines = [
        line
        for line in sorted_lines
        if line.details.get('request') == request_id
    ]
    if not request_lines:
        return []
    begin, end = (
        request_lines[0].timestamp - _PRECEDING_PERIOD,
        request_lines[-1].timestamp,
    )
    names = {
        line.details[field]
        for line in request_lines
        for field in ('replica', 'model')
        if line.details.get(field)
    }
    processes = {line.process for line in request_lines}
    return [
        line
        for line in sorted_lines
        if line.details.get('request') == request_id
        or (
            begin <= line.timestamp <= end
            and 'request' not in line.details
            and (
                any(map(line.mentions, names))
                or _is_process_event(line, processes)
            )
        )
    ]


def _is_process_event(line: TraceLine, processes: set[str]) -> bool:
    return line.event in _PROCESS_EVENTS and line.process in processes


def _timestamp_of(line: TraceLine) -> datetime:
    return line.timestamp


def _parse_line(text: str) -> TraceLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        timestamp = datetime.fromisoformat(fields['timestamp'])
    except (ValueError, KeyError, TypeError):
        return None
    details = {
        field: detail
        for field, detail in fields.items()
        if field not in _COMMON_FIELDS
    }
    return TraceLine(
        timestamp,
        str(fields.get('process', '')),
        str(fields.get('event', '')),
        details,
    )
