"""Requests in flight at each replica, local and reported by neighbours."""

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import attrs

from bramleybeam.costs import DEFAULT_PROMPT_RATE
from bramleybeam.gateway._packed_loads import PackedLoad, replica_code
from bramleybeam.orders import Target


@attrs.frozen
class LoadReport:
    """Requests in flight at one replica from all gateways.

    ``prefill_tokens`` counts the prompt tokens of requests whose answer has
    not begun, without those that the replica is assumed to have cached.
    ``by_target`` counts the requests by model and adapter. ``memory_tokens``
    are the tokens of cache that all of them need at the end, with their output.
    """

    requests: int = 0
    prefill_tokens: int = 0
    by_target: Mapping[Target, int] = attrs.field(factory=dict)
    memory_tokens: int = 0


@attrs.define(eq=False)
class InFlightRequest:
    """One request in flight at a replica.

    ``prefill_tokens`` is the number of prompt tokens that the replica still
    has to process; 0 once its answer has begun. ``memory_tokens`` are those of
    the prompt and the expected output.
    """

    target: Target
    prefill_tokens: int = 0
    memory_tokens: int = 0


@attrs.define
class _LocalLoad:
    requests: int = 0
    prefill_tokens: int = 0
    by_target: Counter[Target] = attrs.field(factory=Counter)
    memory_tokens: int = 0

    def add(self, in_flight: InFlightRequest, sign: int) -> None:
        self.requests += sign
        self.prefill_tokens += sign * in_flight.prefill_tokens
        self.memory_tokens += sign * in_flight.memory_tokens
        self.by_target[in_flight.target] += sign
        if not self.by_target[in_flight.target]:
            self.by_target.pop(in_flight.target)


@attrs.frozen
class RemoteLoads:
    """The requests in flight of a part of the tree.

    ``totals`` are the loads by the code of a replica. ``targets`` counts the
    requests by target, for each code; only the planner needs it, so that it is
    empty in messages from parents.
    """

    totals: Mapping[int, PackedLoad] = attrs.field(factory=dict)
    targets: Mapping[int, Mapping[Target, int]] = attrs.field(factory=dict)


@attrs.frozen
class _RemoteEntry:
    """What a neighbour reported at ``reported_at``, valid until ``expires_at``.

    Both are in seconds.
    """

    expires_at: float
    loads: RemoteLoads
    reported_at: float

    def unprocessed_tokens(self, code: int, now: float) -> int:
        """Return the prompt tokens that a replica has presumably left."""
        load = self.loads.totals.get(code)
        if load is None or now >= self.expires_at:
            return 0
        age_s = max(0.0, now - self.reported_at)
        return max(0, load.prefill_tokens - int(age_s * DEFAULT_PROMPT_RATE))


class LoadTable:
    """Sums the requests in flight of all gateways by replica.

    A neighbour reports the sum over all gateways on its side of the tree, so
    that local requests plus the reports of all neighbours give the total. The
    callbacks in ``on_remote`` are called after each report.
    """

    def __init__(self) -> None:
        """Create a table without requests in flight."""
        self.on_remote: list[Callable[[], None]] = []
        self._local: dict[str, _LocalLoad] = {}
        self._remote: dict[str, _RemoteEntry] = {}

    @contextmanager
    def track(self, replica: str, in_flight: InFlightRequest) -> Iterator[None]:
        """Count a request as in flight at a replica within the context."""
        local = self._local.setdefault(replica, _LocalLoad())
        local.add(in_flight, 1)
        try:
            yield
        finally:
            local.add(in_flight, -1)
            if not local.requests:
                self._local.pop(replica)

    def note_prefill_done(
        self, replica: str, in_flight: InFlightRequest
    ) -> None:
        """Record that a request's answer has begun; repeats have no effect."""
        self._local[replica].prefill_tokens -= in_flight.prefill_tokens
        in_flight.prefill_tokens = 0

    def update_remote(
        self,
        neighbour: str,
        loads: RemoteLoads,
        expires_at: float,
        reported_at: float = math.inf,
    ) -> None:
        """Replace a neighbour's report, which is valid until ``expires_at``.

        ``reported_at`` is when it was received, infinite if its age does not
        matter. Both are in seconds of the clock.
        """
        entry = _RemoteEntry(expires_at, loads, reported_at)
        self._remote[neighbour] = entry
        for callback in self.on_remote:
            callback()

    def forget(self, neighbour: str) -> None:
        """Drop the report of a gateway that is no longer a neighbour."""
        self._remote.pop(neighbour, None)

    def report_for(
        self, neighbour: str, now: float, *, with_targets: bool = False
    ) -> RemoteLoads:
        """Return the loads to report to a neighbour.

        They cover all gateways except those on the neighbour's side of the
        tree, whose requests the neighbour counts itself.
        """
        reports = [
            self._pack_local(),
            *self._list_fresh(now, excluded=neighbour),
        ]
        totals: dict[int, PackedLoad] = {}
        for report in reports:
            for code, load in report.totals.items():
                totals[code] = _add(totals.get(code), load)
        if not with_targets:
            return RemoteLoads(totals)
        targets: dict[int, Counter[Target]] = {}
        for report in reports:
            for code, counts in report.targets.items():
                targets.setdefault(code, Counter()).update(counts)
        return RemoteLoads(totals, targets)

    def count_local(self, replica: str) -> int:
        """Return the requests of this gateway in flight at a replica."""
        local = self._local.get(replica)
        return local.requests if local else 0

    def total(self, replica: str, now: float) -> LoadReport:
        """Return the load of a replica from all gateways."""
        local = self._local.get(replica, _LocalLoad())
        code = replica_code(replica)
        total = PackedLoad(
            local.requests, local.prefill_tokens, local.memory_tokens
        )
        by_target: Counter[Target] = Counter(local.by_target)
        for remote in self._list_fresh(now):
            load = remote.totals.get(code)
            if load is not None:
                total = _add(total, load)
                by_target.update(remote.targets.get(code, {}))
        return LoadReport(
            total.requests,
            total.prefill_tokens,
            by_target,
            total.memory_tokens,
        )

    def unprocessed_tokens(self, replica: str, now: float) -> int:
        """Return the prompt tokens of all gateways that a replica has left.

        Those that neighbours have reported are presumably processed since.
        """
        local = self._local.get(replica, _LocalLoad())
        code = replica_code(replica)
        return local.prefill_tokens + sum(
            entry.unprocessed_tokens(code, now)
            for entry in self._remote.values()
        )

    def _pack_local(self) -> RemoteLoads:
        return RemoteLoads(
            {
                replica_code(name): PackedLoad(
                    local.requests, local.prefill_tokens, local.memory_tokens
                )
                for name, local in self._local.items()
            },
            {
                replica_code(name): local.by_target
                for name, local in self._local.items()
            },
        )

    def _list_fresh(
        self, now: float, excluded: str = ''
    ) -> Iterator[RemoteLoads]:
        for neighbour, entry in self._remote.items():
            if neighbour != excluded and now < entry.expires_at:
                yield entry.loads


def _add(first: PackedLoad | None, second: PackedLoad) -> PackedLoad:
    if first is None:
        return second
    return PackedLoad(
        first.requests + second.requests,
        first.prefill_tokens + second.prefill_tokens,
        first.memory_tokens + second.memory_tokens,
    )
