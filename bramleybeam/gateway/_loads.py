"""Work in flight at each replica, own and as neighbours in the tree tell."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

import attrs

from bramleybeam.orders import Target


@attrs.frozen
class LoadReport:
    """Work of one gateway or more at one replica, in requests and tokens.

    ``unread_tokens`` are of prompts whose first event has not come.
    """

    requests: int = 0
    unread_tokens: int = 0
    by_target: Mapping[Target, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class InFlightRequest:
    """One request in flight at a replica."""

    target: Target
    unread_tokens: int = 0


@attrs.define
class _LocalLoad:
    requests: int = 0
    unread_tokens: int = 0
    by_target: Counter[Target] = attrs.field(factory=Counter)

    def add(self, work: InFlightRequest, sign: int) -> None:
        self.requests += sign
        self.unread_tokens += sign * work.unread_tokens
        self.by_target[work.target] += sign
        if not self.by_target[work.target]:
            self.by_target.pop(work.target)


@attrs.frozen
class _RemoteLoads:
    until: float
    loads: Mapping[str, LoadReport]


class LoadTable:
    """Sums the work of all gateways by replica.

    A neighbour tells the work of all gateways on its side of the tree, so
    that the sum of own work and of what neighbours tell is the whole.
    """

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._local: dict[str, _LocalLoad] = {}
        self._remote: dict[str, _RemoteLoads] = {}

    @contextmanager
    def track(self, replica: str, work: InFlightRequest) -> Iterator[None]:
        """Count a request while it is at a replica."""
        own = self._local.setdefault(replica, _LocalLoad())
        own.add(work, 1)
        try:
            yield
        finally:
            own.add(work, -1)
            if not own.requests:
                self._local.pop(replica)

    def note_read(self, replica: str, work: InFlightRequest) -> None:
        """Note that a request's prompt has been read; repeats do nothing."""
        self._local[replica].unread_tokens -= work.unread_tokens
        work.unread_tokens = 0

    def update_remote(
        self,
        neighbour: str,
        loads: Mapping[str, LoadReport],
        until: float,
    ) -> None:
        """Take in what a neighbour tells; it counts until a moment."""
        self._remote[neighbour] = _RemoteLoads(until, loads)

    def forget(self, neighbour: str) -> None:
        """Drop what a gateway told that is no longer a neighbour."""
        self._remote.pop(neighbour, None)

    def report_for(self, neighbour: str, now: float) -> dict[str, LoadReport]:
        """Return the work of all gateways but those on a neighbour's side."""
        parts: dict[str, list[LoadReport]] = {
            name: [_freeze(own)] for name, own in self._local.items()
        }
        for name, told in self._remote.items():
            if name == neighbour or now >= told.until:
                continue
            for replica, load in told.loads.items():
                parts.setdefault(replica, []).append(load)
        return {replica: _add_up(loads) for replica, loads in parts.items()}

    def total(self, replica: str, now: float) -> LoadReport:
        """Return the work of all gateways at a replica."""
        parts = (
            [_freeze(self._local[replica])] if replica in self._local else []
        )
        for told in self._remote.values():
            known = told.loads.get(replica)
            if known is not None and now < told.until:
                parts.append(known)
        return _add_up(parts)


def _freeze(own: _LocalLoad) -> LoadReport:
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
