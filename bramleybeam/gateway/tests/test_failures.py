"""Shares of failed requests at replicas, from all gateways."""

import pytest

from bramleybeam.gateway._failures import FailureTable, OutcomeCounts
from bramleybeam.gateway.tests.exchange_network import Network
from bramleybeam.simulation import run_in_virtual_time


@pytest.fixture
def table():
    return FailureTable()


def note(table, failures, completions, now=10):
    for _ in range(failures):
        table.note('e1', now, has_failed=True)
    for _ in range(completions):
        table.note('e1', now, has_failed=False)


@pytest.mark.parametrize(
    ('failures', 'completions', 'lowest', 'highest'),
    [
        (0, 0, 0, 0),
        (0, 50, 0, 0),
        # A single failure proves little.
        (1, 0, 0.2, 0.5),
        (1, 20, 0.02, 0.06),
        (6, 14, 0.2, 0.3),
        (20, 0, 0.85, 1),
    ],
)
def test_share_of_failures(table, failures, completions, lowest, highest):
    note(table, failures, completions)
    assert lowest <= table.share('e1', 10) <= highest


def test_failures_are_forgotten_after_some_seconds(table):
    note(table, 20, 0)
    assert table.share('e1', 30) < 0.05
    assert not table.report_for('n1', 30)


def test_neighbour_is_not_told_its_own_counts(table):
    note(table, 4, 6)
    table.update_remote('n1', {'e1': OutcomeCounts(10, 10)}, expires_at=12)
    table.update_remote('n2', {'e1': OutcomeCounts(2, 2)}, expires_at=12)
    assert table.report_for('n1', 10) == {'e1': OutcomeCounts(6, 8)}
    assert table.share('e1', 10) == pytest.approx(16 / (16 + 18 + 2))
    table.forget('n1')
    assert table.share('e1', 10) == pytest.approx(6 / (6 + 8 + 2))
    # Old reports no longer count.
    assert table.share('e1', 12) < 0.3


def test_gateways_know_a_failing_replica_that_each_used_once():
    """Without the exchange, 28 gateways each see a share of 1 in 3."""

    async def scenario():
        network = Network(28)
        await network.run(3)
        for number, node in enumerate(network.nodes.values()):
            now = node.cluster_state.directory.now()
            node.cluster_state.failures.note(
                'e1', now, has_failed=number % 2 == 0
            )
        await network.run(1)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            assert node.cluster_state.failures.share('e1', now) > 0.3
            assert node.cluster_state.failures.share('e2', now) == 0

    run_in_virtual_time(scenario())
