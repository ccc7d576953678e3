"""Expects exactly the tests that KNOWN-RED.txt lists to fail.

A line ``- test: NODE_ID`` names a test that fails because of a known fault.
The test still runs; if it passes, the run fails until the line is removed.
"""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).with_name('KNOWN-RED.txt')
_LINE_PREFIX = '- test: '


def list_known_red(text: str) -> list[str]:
    """Return the node ids in the text of a list of known failures."""
    return [
        line.removeprefix(_LINE_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(_LINE_PREFIX)
    ]


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Mark the listed tests as strictly expected to fail."""
    node_ids = list_known_red(_KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in node_ids:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True)
            )
