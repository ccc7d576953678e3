"""A short run of the chaos with a fixed seed; ``make chaos`` runs longer."""

from tests.chaos import Chaos
from tests.documents import make_document
from tests.processes import ProcessCluster

SEED = 20261204
SECONDS = 25


async def test_nothing_breaks_in_a_mix_of_faults(tmp_path):
    """What must always hold, holds."""
    cluster = ProcessCluster(tmp_path, make_document())
    cluster.ledger_delay = 0.2
    cluster.engine_step_s = 0.03
    try:
        await cluster.start()
        findings = await Chaos(cluster, SEED).run(SECONDS)
    finally:
        await cluster.close()
    assert not findings.violations
    assert findings.answers
    assert findings.postings
