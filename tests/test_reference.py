"""The committed reference pages match the constraints declared in the code."""

from pathlib import Path

import pytest

from bramleybeam.operators._reference import make_reference

PAGES = Path(__file__).parent.parent / 'docs' / 'operations'


@pytest.mark.parametrize('page', ['settings', 'errors'])
def test_reference_pages_are_current(page):
    """A page equals the generated one; ``make reference`` updates it."""
    assert (PAGES / f'{page}.md').read_text() == make_reference(page)


def test_every_settings_parameter_is_described():
    """Every parameter has a description, except the three that are tables."""
    rows = [
        line.split('|')
        for line in make_reference('settings').splitlines()
        if line.startswith('| ') and not line.startswith('| ---')
    ]
    undescribed = {row[1].strip() for row in rows if not row[2].strip()}
    assert undescribed <= {'tls', 'caller_tls', 'tracing'}
