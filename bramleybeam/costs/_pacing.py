"""Whether a prompt would stall the streams that run at a replica.

Handles this load: several long prompts arrive at a replica at once. It processes
them between the tokens of the streams in its batch, none of which gets an event
until then. A caller notices a pause longer than its route allows.
"""

from typing import Final

# Part of the longest pause that prompts may take up. The rest is for the steps of
# the streams themselves, which go on between two parts of a prompt.
_PROMPT_SHARE: Final = 0.75
# Backlog in seconds below which a replica counts as free. To wait for it would not
# help a prompt that takes up the whole pause by itself.
_FREE_BACKLOG_S: Final = 0.02
# Part of the time to the objective that may be spent waiting.
_WAIT_SHARE: Final = 0.5


def would_stall_streams(
    backlog_s: float, work_s: float, longest_gap_s: float, running: int
) -> bool:
    """Whether a prompt of ``work_s`` seconds should wait for a replica.

    ``backlog_s`` is the work that the replica has, ``running`` the number of its
    requests, ``longest_gap_s`` the longest pause between two events of a stream;
    0 if there is no limit.
    """
    if not running or not longest_gap_s or backlog_s < _FREE_BACKLOG_S:
        return False
    return backlog_s + work_s > _PROMPT_SHARE * longest_gap_s


def can_wait(first_event_s: float, left_s: float) -> bool:
    """Whether a request may wait a moment and still meet its objective.

    ``first_event_s`` is the estimated time to its first event if it is sent now,
    ``left_s`` the time to its objective, both in seconds.
    """
    return first_event_s < _WAIT_SHARE * left_s
