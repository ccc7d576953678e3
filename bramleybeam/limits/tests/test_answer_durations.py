"""Which requests a process takes that is about to stop."""

import pytest

from bramleybeam.limits import AnswerDurations


@pytest.mark.parametrize(
    ('durations', 'time_limit_s', 'time_left_s', 'expected'),
    [
        ((), 3, 5, True),
        # Nothing is known of the route.
        ((), 20, 5, False),
        ((1, 4, 2), 20, 5, True),
        ((1, 6, 2), 20, 5, False),
        # A long answer in the past is forgotten.
        ((6, *[1] * 100), 20, 5, True),
    ],
)
def test_requests_that_end_in_time(
    durations, time_limit_s, time_left_s, expected
):
    answers = AnswerDurations()
    for duration_s in durations:
        answers.note('r', duration_s)
    assert answers.ends_within('r', time_limit_s, time_left_s) == expected
