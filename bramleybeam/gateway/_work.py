"""Estimates the work of requests at replicas, and tells other gateways of it."""

from collections.abc import Callable

from bramleybeam.catalog import Replica
from bramleybeam.costs import CostModel, RequestWork, WorkNotice
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._packed_loads import replica_code


class WorkTracker:
    """Keeps the backlogs of the replicas up to date with what is sent here.

    ``count_uncached`` returns the prompt tokens that a replica has to process
    for a request. The callbacks in ``on_sent`` are called for each request that
    is sent to a replica.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        count_uncached: Callable[[Job, Replica], int],
    ) -> None:
        """Store the tables that the estimates come from."""
        self.on_sent: list[Callable[[WorkNotice], None]] = []
        self._costs = cluster_state.costs
        self._backlogs = cluster_state.backlogs
        self._loads = cluster_state.loads
        self._count_uncached = count_uncached

    def estimate(self, job: Job, replica: Replica, now: float) -> RequestWork:
        """Return what a request would cost a replica if it were sent now.

        Prompts that should be done but have no answer yet show that the replica
        is slower than estimated.
        """
        code = replica_code(replica.name)
        ahead_s = self._backlogs.seconds(code, now)
        if job.service.engine is None:
            kind = job.route.name
            work_s = self._costs.plain_work_s(code, kind, replica.slots)
            return RequestWork(code, kind, 0, ahead_s, work_s, now)
        kind = job.facts.model
        tokens = self._count_uncached(job, replica)
        work_s = self._costs.prompt_work_s(code, kind, tokens)
        unanswered = self._loads.unprocessed_tokens(replica.name, now)
        unanswered_s = self._costs.prompt_work_s(code, kind, unanswered)
        ahead_s = max(ahead_s, unanswered_s)
        return RequestWork(code, kind, tokens, ahead_s, work_s, now)

    def note_sent(self, job: Job, replica: Replica, now: float) -> None:
        """Record that a request is sent to a replica."""
        work = self.estimate(job, replica, now)
        job.work = work
        notice = WorkNotice(work.code, work.work_s)
        self._backlogs.add(notice, now)
        for callback in self.on_sent:
            callback(notice)


def learn_from_answer(costs: CostModel, job: Job, now: float) -> None:
    """Learn from the time to a begun answer; later calls have no effect.

    ``now`` is in seconds.
    """
    if job.work is not None:
        costs.learn(job.work, now)
        job.work = None
