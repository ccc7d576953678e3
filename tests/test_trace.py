"""Tests of ``ctl trace``, which finds the log lines that explain a request."""

import json

import pytest
from click.testing import CliRunner

from bramleybeam.operators import ctl

TIME_PREFIX = '2026-05-10T10:00:'


def line(second, process, event, **details):
    """Return one log line of a process."""
    fields = {
        'event': event,
        'timestamp': f'{TIME_PREFIX}{second:06.3f}Z',
        'process': process,
        'role': 'gateway',
        'level': 'info',
        **details,
    }
    return json.dumps(fields)


LINES = (
    line(1, 'g1', 'store_lost'),
    line(30, 'g2', 'planner_elected', epoch=4),
    line(31, 'g1', 'store_regained', lost_s=30),
    line(
        32,
        'g2',
        'order_given',
        order="LoadModel(replica='e2', model='m7')",
        outcome='OrderAccepted(done=False)',
    ),
    line(33, 'g2', 'order_given', order="LoadModel(replica='e3', model='m9')"),
    line(34, 'g1', 'attempt_failed', request='r1', replica='e1', model='m7'),
    line(34.5, 'g2', 'replica_gone', replica='e1'),
    line(35, 'g1', 'refused', request='r1', model='m7', status=503),
    line(36, 'g1', 'refused', request='r2', model='m7', status=503),
    line(37, 'g2', 'replica_seen', replica='e1'),
    'not a log line',
    '{"event": "cut off',
)


def run_trace(tmp_path, request_id, *options):
    """Write the lines to a log file and run ``ctl trace`` on it."""
    path = tmp_path / 'day.log'
    path.write_text('\n'.join(f'  12.5 node {text}' for text in LINES))
    arguments = ['trace', request_id, str(path), *options]
    return CliRunner().invoke(ctl, arguments)


def test_request_lines_and_related_events_in_order(tmp_path):
    result = run_trace(tmp_path, 'r1', '--json')
    assert result.exit_code == 0
    events = [(row[1], row[2]) for row in json.loads(result.output)]
    assert events == [
        ('g1', 'store_regained'),
        ('g2', 'order_given'),
        ('g1', 'attempt_failed'),
        ('g2', 'replica_gone'),
        ('g1', 'refused'),
    ]


def test_table_shows_the_outcome(tmp_path):
    result = run_trace(tmp_path, 'r1')
    last = result.output.strip().splitlines()[-1]
    assert 'refused' in last
    assert '"status": 503' in last


@pytest.mark.parametrize('request_id', ['r9', 'm7', ''])
def test_unknown_request_is_reported(tmp_path, request_id):
    result = run_trace(tmp_path, request_id)
    assert result.exit_code == 5
    assert 'No line' in result.output
