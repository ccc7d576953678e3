"""A short run of random faults with a fixed seed.

``make chaos`` runs longer.
"""

from tests.chaos import Chaos
from tests.documents import make_document
from tests.processes import ProcessCluster

SEED = 20261204
DURATION_S = 25


async def test_random_faults_cause_no_violation(tmp_path):
    """No answer is wrong, no posting runs twice and no engine overcommits.

    Callers also get at least one complete answer and send postings.
    """
    cluster = ProcessCluster(tmp_path, make_document())
    cluster.ledger_delay = 0.2
    cluster.engine_step_s = 0.03
    try:
        await cluster.start()
        findings = await Chaos(cluster, SEED).run(DURATION_S)
    finally:
        await cluster.close()
    assert not findings.violations
    assert findings.answers
    assert findings.postings
