"""What requests cost the replicas, learned from what passes through.

To route by another kind of cost, learn it in a module of its own here and add
it to ``CostModel.work_s``; ``gateway`` only notes requests and answers.
"""

from bramleybeam.costs._backlog import WorkBacklogs, WorkNotice
from bramleybeam.costs._model import CostModel, RequestWork
from bramleybeam.costs._pacing import can_wait, would_stall_streams
from bramleybeam.costs._rates import DEFAULT_PROMPT_RATE, LearnedRates

__all__ = [
    'DEFAULT_PROMPT_RATE',
    'CostModel',
    'LearnedRates',
    'RequestWork',
    'WorkBacklogs',
    'WorkNotice',
    'can_wait',
    'would_stall_streams',
]
