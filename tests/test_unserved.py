"""``ctl unserved``: models and adapters that were asked for in vain."""

import json

from click.testing import CliRunner

from bramleybeam.operators import ctl


def line(second, event, **details):
    """Return one log line of a gateway."""
    moment = f'2026-05-10T10:00:{second:06.3f}Z'
    return json.dumps({'event': event, 'timestamp': moment, **details})


def order(second, text, outcome='OrderAccepted(done=False)'):
    """Return the line of an order that was given."""
    return line(second, 'order_given', order=text, outcome=outcome)


LINES = (
    *(line(3 * turn, 'refused', model='m1', adapter='') for turn in range(4)),
    *(line(3 * turn, 'refused', model='m2', adapter='a7') for turn in range(5)),
    line(20, 'answered', model='m2', adapter='a7'),
    # Asked for too rarely, or for too short a time, to be judged.
    *(line(9 * turn, 'refused', model='m3', adapter='') for turn in range(3)),
    *(line(turn, 'refused', model='m4', adapter='') for turn in range(6)),
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
    found = [
        (one['model'], one['asks'], one['answered'], one['loads'])
        for one in json.loads(result.output)
    ]
    assert found == [('m1', 4, 0, 1), ('m2', 6, 1, 1)]
    told = CliRunner().invoke(ctl, ['unserved', str(path)])
    assert told.output.startswith('never served: 1 of 2')
