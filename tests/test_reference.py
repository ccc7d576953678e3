"""The committed reference pages match the declared constraints."""

from pathlib import Path

import pytest

from bramleybeam.operators._reference import make_reference

PAGES = Path(__file__).parent.parent / 'docs' / 'operations'


@pytest.mark.parametrize('page', ['settings', 'errors'])
def test_reference_pages_are_current(page):
    """``make reference`` writes them anew."""
    assert (PAGES / f'{page}.md').read_text() == make_reference(page)


def test_every_settings_parameter_is_explained():
    """No parameter stands without its meaning."""
    rows = [
        line.split('|')
        for line in make_reference('settings').splitlines()
        if line.startswith('| ') and not line.startswith('| ---')
    ]
    unexplained = {row[1].strip() for row in rows if not row[2].strip()}
    assert unexplained <= {'tls', 'caller_tls', 'tracing'}
