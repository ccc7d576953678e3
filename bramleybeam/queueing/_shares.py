"""Shares of the free places between workspaces, by cost in tokens.

Handles this load: one workspace sends ten times its usual load, and by their
number its requests take nearly all places. It is measured against its own usual
load, so that it delays itself, and others keep what they usually use.
"""

import math
from collections import OrderedDict
from typing import Final

import attrs

# Time constant of what is usual for a workspace, in seconds.
_USUAL_S: Final = 60.0
# Load beyond the usual one that is not held against a workspace, in seconds of
# its usual load. The arrivals of small workspaces vary by that much.
_ALLOWED_S: Final = 3.0
# Longest delay of a workspace's requests, in seconds of slack.
MAX_DELAY_S: Final = 10.0
# Time without requests after which a workspace is forgotten, in seconds.
_FORGET_S: Final = 180.0


@attrs.define
class _DecayingSum:
    """Tokens with weights that decay with their age."""

    tokens: float = 0
    updated_at: float = 0

    def read(self, now: float) -> float:
        return self.tokens * math.exp((self.updated_at - now) / _USUAL_S)

    def add(self, tokens: float, now: float) -> None:
        self.tokens = self.read(now) + tokens
        self.updated_at = now


@attrs.define
class _WorkspaceLoad:
    usual: _DecayingSum
    excess_s: float = 0
    updated_at: float = 0

    def read_excess(self, now: float) -> float:
        return max(0, self.excess_s - (now - self.updated_at))


class WorkspaceShares:
    """How far each workspace is beyond its usual load; times in seconds.

    A workspace with less than an equal share of the total is never beyond it,
    however irregular its requests are.
    """

    def __init__(self) -> None:
        """Start without workspaces."""
        self._loads: OrderedDict[str, _WorkspaceLoad] = OrderedDict()
        self._total = _DecayingSum()
        self._began_at: float | None = None

    def note(self, workspace: str, tokens: float, now: float) -> None:
        """Record a request that arrives, with its cost."""
        if self._began_at is None:
            self._began_at = now
        load = self._loads.setdefault(workspace, _WorkspaceLoad(_DecayingSum()))
        self._loads.move_to_end(workspace)
        # What is usual does not include this request.
        rate = self._allowed_rate(load, now)
        if rate:
            excess_s = load.read_excess(now) + tokens / rate
            load.excess_s = min(excess_s, _ALLOWED_S + MAX_DELAY_S)
        load.updated_at = now
        load.usual.add(tokens, now)
        self._total.add(tokens, now)
        self._forget_idle(now)

    def delay_s(self, workspace: str, now: float) -> float:
        """Return the slack by which its requests stand behind others."""
        load = self._loads.get(workspace)
        if load is None:
            return 0
        return max(0, load.read_excess(now) - _ALLOWED_S)

    def _allowed_rate(self, load: _WorkspaceLoad, now: float) -> float:
        """Return the tokens per second that a workspace may use undelayed.

        0 while too little is known.
        """
        known_s = now - (self._began_at or 0)
        if known_s < _ALLOWED_S:
            return 0
        # The sum of the weights of the time since the first request.
        weight_s = _USUAL_S * (1 - math.exp(-known_s / _USUAL_S))
        equal = self._total.read(now) / len(self._loads)
        return max(load.usual.read(now), equal) / weight_s

    def _forget_idle(self, now: float) -> None:
        while self._loads:
            name, load = next(iter(self._loads.items()))
            if now - load.updated_at < _FORGET_S:
                return
            self._loads.pop(name)
