"""Requests in flight at each replica, local and reported by neighbours."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

import attrs

from bramleybeam.orders import Target


@attrs.frozen
class LoadReport:
    """Requests in flight at one replica from one or more gateways.

    ``prefill_tokens`` counts the prompt tokens of requests whose answer has
    not begun, without those that the replica is assumed to have cached.
    ``by_target`` counts the requests by model and adapter.
    """

    requests: int = 0
    prefill_tokens: int = 0
    by_target: Mapping[Target, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class InFlightRequest:
    """One request in flight at a replica.

    ``prefill_tokens`` is the number of prompt tokens that the replica still
    has to process; 0 once its answer has begun.
    """

    target: Target
    prefill_tokens: int = 0


@attrs.define
class _LocalLoad:
    requests: int = 0
    prefill_tokens: int = 0
    by_target: Counter[Target] = attrs.field(factory=Counter)

    def add(self, in_flight: InFlightRequest, sign: int) -> None:
        self.requests += sign
        self.prefill_tokens += sign * in_flight.prefill_tokens
        self.by_target[in_flight.target] += sign
        if not self.by_target[in_flight.target]:
            self.by_target.pop(in_flight.target)


@attrs.frozen
class _RemoteLoads:
    """The loads by replica that a neighbour reported."""

    expires_at: float
    loads: Mapping[str, LoadReport]


class LoadTable:
    """Sums the requests in flight of all gateways by replica.

    A neighbour reports the sum over all gateways on its side of the tree, so
    that local requests plus the reports of all neighbours give the total.
    """

    def __init__(self) -> None:
        """Create a table without requests in flight."""
        self._local: dict[str, _LocalLoad] = {}
        self._remote: dict[str, _RemoteLoads] = {}

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
        loads: Mapping[str, LoadReport],
        expires_at: float,
    ) -> None:
        """Replace a neighbour's report, which is valid until ``expires_at``.

        ``loads`` maps replica names to loads; ``expires_at`` is in seconds of
        the clock.
        """
        self._remote[neighbour] = _RemoteLoads(expires_at, loads)

    def forget(self, neighbour: str) -> None:
        """Drop the report of a gateway that is no longer a neighbour."""
        self._remote.pop(neighbour, None)

    def report_for(self, neighbour: str, now: float) -> dict[str, LoadReport]:
        """Return the load by replica to report to a neighbour.

        It covers all gateways except those on the neighbour's side of the
        tree, whose requests the neighbour counts itself.
        """
        reports: dict[str, list[LoadReport]] = {
            name: [_freeze(local)] for name, local in self._local.items()
        }
        for name, remote in self._remote.items():
            if name == neighbour or now >= remote.expires_at:
                continue
            for replica, load in remote.loads.items():
                reports.setdefault(replica, []).append(load)
        return {
            replica: _sum_reports(loads) for replica, loads in reports.items()
        }

    def total(self, replica: str, now: float) -> LoadReport:
        """Return the load of a replica from all gateways."""
        reports = (
            [_freeze(self._local[replica])] if replica in self._local else []
        )
        for remote in self._remote.values():
            replica_load = remote.loads.get(replica)
            if replica_load is not None and now < remote.expires_at:
                reports.append(replica_load)
        return _sum_reports(reports)


def _freeze(local: _LocalLoad) -> LoadReport:
    return LoadReport(
        local.requests,
        local.prefill_tokens,
        dict(local.by_target),
    )


def _sum_reports(reports: list[LoadReport]) -> LoadReport:
    by_target: Counter[Target] = Counter()
    for report in reports:
        by_target.update(report.by_target)
    return LoadReport(
        sum(report.requests for report in reports),
        sum(report.prefill_tokens for report in reports),
        by_target,
    )
