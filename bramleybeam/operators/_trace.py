"""Joins the log lines that tell what became of one request."""

import json
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime, timedelta
from typing import Any, Final

import attrs

# Time before a request in which what changed a belief may explain it.
_BEFORE: Final = timedelta(seconds=10)
# Fields that each line has; they are not shown as details.
_COMMON: Final = frozenset(('event', 'timestamp', 'process', 'role', 'level'))
# Lines that tell of all requests of a process, with no name in them.
_GENERAL: Final = frozenset(
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
    """A log line: when it was written, by which process, and what it tells."""

    moment: datetime
    process: str
    event: str
    details: Mapping[str, Any]

    def mentions(self, name: str) -> bool:
        """Whether a detail is a name, or an order that has it quoted."""
        return any(
            found == name or (isinstance(found, str) and f"'{name}'" in found)
            for found in self.details.values()
        )


def parse_lines(texts: Iterable[str]) -> Iterator[TraceLine]:
    """Yield what can be read; whatever stands before the JSON is left out."""
    for text in texts:
        line = _parse_line(text)
        if line is not None:
            yield line


def trace_request(
    lines: Iterable[TraceLine],
    request_id: str,
) -> list[TraceLine]:
    """Return the lines of a request and those that explain it, by time.

    These are, from some seconds before it on: lines of any process on the
    replicas and the model that it names, and those of its own process on the
    store, the planner and the configuration.
    """
    known = sorted(lines, key=_moment_of)
    own = [line for line in known if line.details.get('request') == request_id]
    if not own:
        return []
    begin, end = own[0].moment - _BEFORE, own[-1].moment
    names = {
        line.details[field]
        for line in own
        for field in ('replica', 'model')
        if line.details.get(field)
    }
    processes = {line.process for line in own}
    return [
        line
        for line in known
        if line.details.get('request') == request_id
        or (
            begin <= line.moment <= end
            and 'request' not in line.details
            and (any(map(line.mentions, names)) or _is_general(line, processes))
        )
    ]


def _is_general(line: TraceLine, processes: set[str]) -> bool:
    return line.event in _GENERAL and line.process in processes


def _moment_of(line: TraceLine) -> datetime:
    return line.moment


def _parse_line(text: str) -> TraceLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        plain = json.loads(text[start:])
        moment = datetime.fromisoformat(plain['timestamp'])
    except (ValueError, KeyError, TypeError):
        return None
    details = {
        field: found for field, found in plain.items() if field not in _COMMON
    }
    return TraceLine(
        moment,
        str(plain.get('process', '')),
        str(plain.get('event', '')),
        details,
    )
