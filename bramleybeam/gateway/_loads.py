"""Work in flight at each replica, own and as other gateways tell."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Final

import attrs

from bramleybeam.orders import Target

# Age at which what another gateway told of its load no longer counts.
_STALE_S: Final = 1.5


@attrs.frozen
class LoadReport:
    """Work of one gateway at one replica, in requests and tokens.

    ``unread_tokens`` are of prompts whose first event has not come.
    """

    requests: int = 0
    unread_tokens: int = 0
    by_target: Mapping[Target, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Work:
    """One request in flight at a replica."""

    target: Target
    unread_tokens: int = 0


@attrs.define
class _OwnLoad:
    requests: int = 0
    unread_tokens: int = 0
    by_target: Counter[Target] = attrs.field(factory=Counter)

    def add(self, work: Work, sign: int) -> None:
        self.requests += sign
        self.unread_tokens += sign * work.unread_tokens
        self.by_target[work.target] += sign
        if not self.by_target[work.target]:
            self.by_target.pop(work.target)


@attrs.frozen
class _Told:
    moment: float
    loads: Mapping[str, LoadReport]


class LoadTable:
    """Sums the work of all gateways by replica."""

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._own: dict[str, _OwnLoad] = {}
        self._told: dict[str, _Told] = {}

    @contextmanager
    def track(self, replica: str, work: Work) -> Iterator[None]:
        """Count a request while it is at a replica."""
        own = self._own.setdefault(replica, _OwnLoad())
        own.add(work, 1)
        try:
            yield
        finally:
            own.add(work, -1)
            if not own.requests:
                self._own.pop(replica)

    def note_read(self, replica: str, work: Work) -> None:
        """Note that a request's prompt has been read; repeats do nothing."""
        self._own[replica].unread_tokens -= work.unread_tokens
        work.unread_tokens = 0

    def hear(
        self,
        gateway: str,
        loads: Mapping[str, LoadReport],
        now: float,
    ) -> None:
        """Take in what another gateway tells."""
        self._told[gateway] = _Told(now, loads)

    def own_reports(self) -> dict[str, LoadReport]:
        """Return this gateway's own work, to be told to the others."""
        return {name: _freeze(own) for name, own in self._own.items()}

    def total(self, replica: str, now: float) -> LoadReport:
        """Return the work of all gateways at a replica."""
        parts = [_freeze(self._own[replica])] if replica in self._own else []
        for told in self._told.values():
            known = told.loads.get(replica)
            if known is not None and now - told.moment < _STALE_S:
                parts.append(known)
        return _add_up(parts)


def _freeze(own: _OwnLoad) -> LoadReport:
    return LoadReport(
        own.requests,
        own.unread_tokens,
        dict(own.by_target),
    )


def _add_up(parts: list[LoadReport]) -> LoadReport:
    by_target: Counter[Target] = Counter()
    for part in parts:
        by_target.update(part.by_target)
    return LoadReport(
        sum(part.requests for part in parts),
        sum(part.unread_tokens for part in parts),
        by_target,
    )
