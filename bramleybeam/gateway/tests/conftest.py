"""What the tests of gateways share."""

import attrs
import pytest


@attrs.define
class Clock:
    """A clock in seconds that a test moves on."""

    now: float = 100

    def __call__(self):
        """Return the time."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock that stands still until the test moves it."""
    return Clock()
