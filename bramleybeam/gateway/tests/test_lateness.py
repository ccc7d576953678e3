"""Late answers are attributed to the wrong part of their way."""

from types import SimpleNamespace

import pytest

from bramleybeam.gateway._job import Job
from bramleybeam.gateway._lateness import Lateness, find_lateness

ARRIVAL = 100


def make_job(sent_s, event_s=0, gap_s=0, max_gap_s=0.2):
    return SimpleNamespace(
        received_at=ARRIVAL,
        first_sent_at=ARRIVAL + sent_s,
        first_event_at=event_s and ARRIVAL + event_s,
        longest_gap_s=gap_s,
        route=SimpleNamespace(objective_s=0.5, longest_gap_s=max_gap_s),
    )


@pytest.mark.parametrize(
    ('job', 'end_s', 'lateness'),
    [
        (make_job(0.1, 0.5), 9, Lateness.ON_TIME),
        (make_job(0.4, 0.6), 9, Lateness.QUEUE),
        (make_job(0.1, 0.6), 9, Lateness.REPLICA),
        # A plain answer has no events: its end counts.
        (make_job(0.1), 0.4, Lateness.ON_TIME),
        (make_job(0.1), 0.6, Lateness.REPLICA),
        (make_job(0.1, 0.4, gap_s=0.3), 9, Lateness.GAP),
        # The first event is judged before the pauses.
        (make_job(0.1, 0.6, gap_s=0.3), 9, Lateness.REPLICA),
        # A route without a limit of pauses.
        (make_job(0.1, 0.4, gap_s=0.3, max_gap_s=0), 9, Lateness.ON_TIME),
    ],
)
def test_where_time_was_lost(job, end_s, lateness):
    assert find_lateness(job, ARRIVAL + end_s) == lateness


def test_first_send_is_kept_when_an_attempt_is_repeated():
    job = SimpleNamespace(sends=0, runs=0, first_sent_at=0, sent_at=0)
    Job.note_sent(job, 1)
    Job.note_sent(job, 2)
    assert (job.sends, job.first_sent_at, job.sent_at) == (2, 1, 2)
