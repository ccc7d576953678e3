"""Compares granted quotas with fixed equal shares, in virtual time.

22 gateways serve the callers of one workspace. Each request that finds no
balance waits for up to 0.25 s. The shares are of the quota's rate over the time
of the run, and of the requests::

    python -m benchmarks.quotas
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, Final

import attrs
import click

from bramleybeam.catalog import Quota, QuotaBounds, QuotaUnit
from bramleybeam.operators import format_table
from bramleybeam.quotas import (
    CoordinatorView,
    QuotaClient,
    QuotaCoordinator,
    QuotaLimits,
)

GATEWAYS: Final = 22
DURATION_S: Final = 120.0
LATENCY_S: Final = 0.002
WAIT_S: Final = 0.25
BOUNDS: Final = QuotaBounds(8, 0.1, 10_000)
# Time from a request to its first send to a replica.
SEND_S: Final = 0.02
COALESCE_S: Final = 0.005
TICK_S: Final = 0.1
EPOCH: Final = 1
COSTS: Final = (400, 3066)
LARGE: Final = Quota(74_652, 74_652, QuotaUnit.TOKENS, 200)
SMALL: Final = Quota(2_600, 2_600, QuotaUnit.TOKENS, 200)
_SEED: Final = 11


@attrs.define
class Result:
    """What became of the requests; waits are in seconds."""

    offered: int = 0
    served: int = 0
    requests: int = 0
    refused: int = 0
    messages: int = 0
    waits: list[float] = attrs.field(factory=list)
    runs: list[tuple[float, int]] = attrs.field(factory=list)


class Simulation:
    """The gateways, the first one being the coordinator's."""

    def __init__(self, quota: Quota, seed: int) -> None:
        self.now = 0.0
        self.result = Result()
        self.rng = random.Random(seed)
        self.clients = [
            QuotaClient(self.read_clock, number + 1, BOUNDS)
            for number in range(GATEWAYS)
        ]
        self.coordinator = QuotaCoordinator(
            EPOCH, -20, BOUNDS, knows_gateways=True
        )
        self.coordinator.set_quotas({'w': quota}, 1, -20)
        self._events: list[tuple[float, int, Callable[..., Any], tuple]] = []
        self._numbers = itertools.count()
        for client in self.clients:
            client.set_quotas({'w': quota}, 1)
            client.note_epoch(EPOCH)

    def read_clock(self) -> float:
        """Return the time in seconds."""
        return self.now

    def later(
        self, delay_s: float, action: Callable[..., Any], *arguments: Any
    ) -> None:
        """Schedule an action."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._numbers), action, arguments),
        )

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](*event[3])

    def tick(self, at: int) -> None:
        self.pump(at)
        self.later(TICK_S, self.tick, at)

    def pump(self, at: int) -> None:
        request = self.clients[at].next_request()
        if request is None:
            return
        self.result.messages += 1
        self.later(LATENCY_S if at else 0, self.answer, at, request)
        self.later(self.clients[at].next_due_s() + COALESCE_S, self.pump, at)

    def answer(self, at: int, request: Any) -> None:
        view = CoordinatorView(EPOCH, self.now, EPOCH, ())
        grant = self.coordinator.answer(request, str(at), view, self.now)
        self.later(LATENCY_S if at else 0, self.accept, at, grant)

    def accept(self, at: int, grant: Any) -> None:
        if grant is not None:
            self.clients[at].accept(grant)
            self.later(COALESCE_S, self.pump, at)

    def request(self, at: int, cost: int) -> None:
        """Let a request arrive at a gateway."""
        client = self.clients[at]
        self.result.requests += 1
        self.result.offered += cost
        charge = client.reserve('w', cost)
        self.later(COALESCE_S, self.pump, at)
        if charge is not None:
            self.serve(charge, cost, 0)
            return
        began_at = self.now
        waiter = client.wait('w', cost, lambda: self.end_wait(row))
        row = (at, waiter, began_at)
        self.later(WAIT_S, self.end_wait, row)

    def end_wait(self, row: Any) -> None:
        at, waiter, began_at = row
        if waiter.cost < 0:
            return
        charge = self.clients[at].end_wait('w', waiter)
        cost = waiter.cost
        waiter.cost = -1
        if charge is None:
            self.result.refused += 1
        else:
            self.serve(charge, cost, self.now - began_at)

    def serve(self, charge: Any, cost: int, wait_s: float) -> None:
        self.result.waits.append(wait_s)
        self.result.served += cost
        self.later(SEND_S, self.send, charge, cost)

    def send(self, charge: Any, cost: int) -> None:
        charge.note_sent()
        self.result.runs.append((self.now, cost))


def list_arrivals(
    quota: Quota, load: float, weights: list[float], seed: int
) -> list[tuple[float, int, int]]:
    """Return the times, gateways and costs of requests."""
    rng = random.Random(seed)
    rate = quota.rate_per_s * load / (sum(COSTS) / 2)
    now = 0.0
    arrivals = []
    while now < DURATION_S:
        now += rng.expovariate(rate)
        at = rng.choices(range(GATEWAYS), weights)[0]
        arrivals.append((now, at, rng.randint(*COSTS)))
    return arrivals


def run_granted(quota: Quota, arrivals: list[tuple[float, int, int]]) -> Result:
    """Return the results with granted balances."""
    simulation = Simulation(quota, _SEED)
    for at in range(GATEWAYS):
        simulation.later(at * TICK_S / GATEWAYS, simulation.tick, at)
    for arrived_at, at, cost in arrivals:
        simulation.later(arrived_at, simulation.request, at, cost)
    simulation.run(DURATION_S)
    return simulation.result


def run_shares(
    quota: Quota, arrivals: list[tuple[float, int, int]], parts: int
) -> Result:
    """Return the results with the quota in equal fixed parts.

    With one part, this is a bucket that all gateways share without delay. Several
    may each be exceeded by their share of the permitted excess. A request larger
    than the burst of one bucket needs a full one.
    """
    limits = QuotaLimits.of(quota, BOUNDS)
    burst = quota.burst
    if parts > 1:
        burst = (limits.total + limits.debt) / parts
    levels = [burst] * parts
    filled_at = [0.0] * parts
    result = Result()
    for now, at, cost in arrivals:
        part = at % parts
        gained = (now - filled_at[part]) * quota.rate_per_s / parts
        levels[part] = min(burst, levels[part] + gained)
        filled_at[part] = now
        result.requests += 1
        result.offered += cost
        needed = min(cost, burst) if parts == 1 else cost
        if levels[part] >= needed:
            levels[part] -= cost
            result.served += cost
        else:
            result.refused += 1
    return result


def find_largest_window(runs: list[tuple[float, int]]) -> int:
    """Return the most that ran in any window of the bounds."""
    first = 0
    total = 0
    largest = 0
    for at, cost in runs:
        total += cost
        while runs[first][0] < at - BOUNDS.window_s:
            total -= runs[first][1]
            first += 1
        largest = max(largest, total)
    return largest


def describe(
    name: str, quota: Quota, load: float, weights: list[float]
) -> list[str]:
    """Return one row of the table."""
    arrivals = list_arrivals(quota, load, weights, _SEED)
    granted = run_granted(quota, arrivals)
    shares = run_shares(quota, arrivals, GATEWAYS)
    ideal = run_shares(quota, arrivals, 1)
    waits = sorted(granted.waits)
    bound = (quota.rate_per_s * BOUNDS.window_s + quota.burst) * (
        1 + BOUNDS.excess_share
    ) + BOUNDS.allowance
    usable = min(granted.offered, quota.rate_per_s * DURATION_S)
    return [
        name,
        f'{load:.2f}',
        f'{granted.served / usable:.3f}',
        f'{shares.served / usable:.3f}',
        f'{ideal.served / usable:.3f}',
        f'{1 - granted.refused / granted.requests:.3f}',
        f'{waits[len(waits) // 2] * 1000:.0f}',
        f'{waits[int(len(waits) * 0.99)] * 1000:.0f}',
        f'{granted.messages / DURATION_S / GATEWAYS:.1f}',
        f'{find_largest_window(granted.runs) / bound:.2f}',
    ]


def main() -> None:
    """Print the table."""
    even = [1.0] * GATEWAYS
    skewed = [GATEWAYS - 1.0, *[1.0] * (GATEWAYS - 1)]
    cases = (
        ('even', LARGE, even),
        ('half at one gateway', LARGE, skewed),
        ('small, even', SMALL, even),
        ('small, half at one', SMALL, skewed),
    )
    rows = [
        describe(name, quota, load, weights)
        for name, quota, weights in cases
        for load in (0.8, 0.95, 2)
    ]
    click.echo(
        format_table(
            [
                'callers',
                'load',
                'granted',
                'fixed shares',
                'one bucket',
                'requests served',
                'median wait ms',
                '99th',
                'requests/s each',
                'largest window',
            ],
            rows,
        )
    )


if __name__ == '__main__':
    main()
