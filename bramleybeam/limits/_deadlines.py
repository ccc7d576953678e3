"""Tells callers that come back from those that ask for the first time.

A caller sends the time that it will still wait. The longest of a route is
that of a first try; one that is clearly shorter has been tried before.
"""

from typing import Final

import attrs

# Time lost on the way that doesn't make a first try look like a second.
_JITTER_S: Final = 0.1
_MAX_ROUTES: Final = 10_000


@attrs.define
class DeadlineTable:
    """The longest time that callers of each route give, in seconds."""

    _longest: dict[str, float] = attrs.field(factory=dict)

    def spent(self, route: str, deadline_s: float) -> float:
        """Return the seconds that a caller has spent on earlier tries."""
        longest = max(self._longest.get(route, 0), deadline_s)
        if len(self._longest) >= _MAX_ROUTES:
            self._longest.clear()
        self._longest[route] = longest
        spent = longest - deadline_s
        return spent if spent > _JITTER_S else 0
