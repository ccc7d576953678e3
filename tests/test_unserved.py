"""Test of ``ctl unserved``, which lists models and adapters never served."""

import json

from click.testing import CliRunner

from bramleybeam.operators import ctl


def line(second, event, **details):
    """Return one log line of a gateway."""
    timestamp = f'2026-05-10T10:00:{second:06.3f}Z'
    return json.dumps({'event': event, 'timestamp': timestamp, **details})


def order(second, text, outcome='OrderAccepted(done=False)'):
    """Return the log line of an order that was sent."""
    return line(second, 'order_given', order=text, outcome=outcome)


LINES = (
    *(line(3 * index, 'refused', model='m1', adapter='') for index in range(4)),
    *(
        line(3 * index, 'refused', model='m2', adapter='a7')
        for index in range(5)
    ),
    line(20, 'answered', model='m2', adapter='a7'),
    # Too few requests, or too short a time, to be counted.
    *(line(9 * index, 'refused', model='m3', adapter='') for index in range(3)),
    *(line(index, 'refused', model='m4', adapter='') for index in range(6)),
    line(4, 'refused', model='', adapter=''),
    order(5, "LoadModel(replica='e1', model='m1', from_store=True)"),
    order(6, "UnloadModel(replica='e1', model='m1', successor='m2')"),
    order(7, "LoadAdapter(replica='e1', model='m2', adapter='a7')"),
    order(8, "LoadAdapter(replica='e1', model='m2', adapter='a7')", 'Refused'),
)


def test_targets_never_served_are_counted(tmp_path):
    path = tmp_path / 'day.log'
    path.write_text('\n'.join(LINES))
    result = CliRunner().invoke(ctl, ['unserved', str(path), '--json'])
    assert result.exit_code == 0
    rows = [
        (row['model'], row['asks'], row['answered'], row['loads'])
        for row in json.loads(result.output)
    ]
    assert rows == [('m1', 4, 0, 1), ('m2', 6, 1, 1)]
    table = CliRunner().invoke(ctl, ['unserved', str(path)])
    assert table.output.startswith('never served: 1 of 2')
