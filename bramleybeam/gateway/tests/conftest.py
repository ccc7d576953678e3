"""Fixtures that the tests of the gateway share."""

import attrs
import pytest


@attrs.define
class Clock:
    """A clock in seconds that a test advances by setting ``now``."""

    now: float = 100

    def __call__(self):
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock that stands still until the test advances it."""
    return Clock()
