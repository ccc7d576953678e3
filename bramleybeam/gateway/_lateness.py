"""Where the time of a late answer was spent."""

import enum

from bramleybeam.gateway._job import Job


class Lateness(enum.StrEnum):
    """Whether an answer was on time, and otherwise where it lost most time.

    ``QUEUE`` is the time until it was first sent to a replica, ``REPLICA`` the
    time from then to the first event or the whole answer, including attempts
    that failed. ``GAP`` is a pause in a stream whose first event was on time.
    """

    ON_TIME = 'on_time'
    QUEUE = 'queue'
    REPLICA = 'replica'
    GAP = 'gap'


def find_lateness(job: Job, now: float) -> Lateness:
    """Classify an answer that was delivered completely at ``now``."""
    answered_at = job.first_event_at or now
    # A request that was never sent has spent all its time in the queue.
    queue_s = (job.first_sent_at or answered_at) - job.received_at
    replica_s = answered_at - job.received_at - queue_s
    if queue_s + replica_s > job.route.objective_s:
        return Lateness.QUEUE if queue_s > replica_s else Lateness.REPLICA
    max_gap_s = job.route.longest_gap_s
    if max_gap_s and job.longest_gap_s > max_gap_s:
        return Lateness.GAP
    return Lateness.ON_TIME
