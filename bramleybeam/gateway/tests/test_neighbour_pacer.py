"""The bytes a second for each neighbour, and the rows that they allow."""

import pytest

from bramleybeam.gateway._neighbour_pacer import (
    CHILD_TABLES_SHARE,
    NeighbourPacer,
    neighbour_rate,
)

# Requirement: control traffic of a host in bytes a second, sent and received.
CONTROL_BYTES_PER_S = 27_000


@pytest.mark.parametrize('neighbours', [1, 2, 3, 5, 6, 20])
def test_neighbours_together_get_less_than_half_of_the_hosts_bytes(neighbours):
    sent_bytes = neighbours * neighbour_rate(neighbours)
    assert sent_bytes < CONTROL_BYTES_PER_S / 2


@pytest.mark.parametrize('neighbours', [1, 5, 7, 14, 30])
def test_rows_are_sent_again_soon_after_the_budget_was_spent(neighbours):
    """Also with so many neighbours that few rows fit into a full budget."""
    pacer = NeighbourPacer('', CHILD_TABLES_SHARE, neighbour_rate(neighbours))
    assert pacer.count_rows(0) > 0
    pacer.budget.spend(int(pacer.budget.available_bytes(0)), 0)
    assert pacer.count_rows(0) == 0
    waits_s = [wait_s for wait_s in range(1, 6) if pacer.count_rows(wait_s) > 0]
    assert waits_s[0] <= 3
    assert neighbours > 7 or waits_s[0] == 1


def test_change_of_the_rate_applies_to_tables_and_rows():
    pacer = NeighbourPacer('', 0.5, 1000)
    pacer.set_rate(2000)
    pacer.note_tables_sent(800, 0)
    assert pacer.period_s == pytest.approx(0.8)
    assert pacer.budget.rate == pytest.approx(1000)
