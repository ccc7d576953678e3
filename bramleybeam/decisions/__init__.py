"""Decision logic without I/O.

Every decision depends only on a snapshot of the state, the time and a random
number generator, all passed by the caller.
"""

from bramleybeam.decisions._admission import (
    limit_share_of,
    priority_of,
)
from bramleybeam.decisions._buckets import TokenBucket
from bramleybeam.decisions._claims import (
    ClaimIndex,
    ClaimRecord,
    ClaimState,
    Verdict,
)
from bramleybeam.decisions._crash_evidence import Crash, Suspect
from bramleybeam.decisions._homes import assign_homes, rank_by_hash
from bramleybeam.decisions._memory import (
    DRAINING,
    LOADING,
    READY,
    UNLOADING,
    MemoryLedger,
)
from bramleybeam.decisions._placed import (
    PlacedUpstream,
    PlacementSnapshot,
    PlannedOrder,
)
from bramleybeam.decisions._placement import plan_placement
from bramleybeam.decisions._policies import (
    EstimatePolicy,
    Policy,
    RandomPolicy,
    RoundRobinPolicy,
    StaleLeastPolicy,
)
from bramleybeam.decisions._prefixes import PrefixHistory, hash_blocks
from bramleybeam.decisions._quarantine import (
    SeesAllRequests,
    SeesOwnRequests,
    SuspectTable,
    Suspicion,
)
from bramleybeam.decisions._retries import (
    AttemptHistory,
    AttemptLost,
    Failure,
    NeverArrived,
    RefusedByAgent,
    RetryAttempt,
    StopRetrying,
    decide_retry,
)
from bramleybeam.decisions._routing import (
    Candidate,
    choose_upstream,
    estimate_first_token,
)
from bramleybeam.decisions._shard import (
    ShardLimits,
    ShardPlanner,
    ShardUpstream,
    ShardView,
    count_ready,
    share_limits,
)

__all__ = [
    'DRAINING',
    'LOADING',
    'READY',
    'UNLOADING',
    'AttemptHistory',
    'AttemptLost',
    'Candidate',
    'ClaimIndex',
    'ClaimRecord',
    'ClaimState',
    'Crash',
    'EstimatePolicy',
    'Failure',
    'MemoryLedger',
    'NeverArrived',
    'PlacedUpstream',
    'PlacementSnapshot',
    'PlannedOrder',
    'Policy',
    'PrefixHistory',
    'RandomPolicy',
    'RefusedByAgent',
    'RetryAttempt',
    'RoundRobinPolicy',
    'ShardLimits',
    'ShardPlanner',
    'ShardUpstream',
    'ShardView',
    'StaleLeastPolicy',
    'StopRetrying',
    'SeesAllRequests',
    'SeesOwnRequests',
    'Suspect',
    'SuspectTable',
    'Suspicion',
    'TokenBucket',
    'Verdict',
    'assign_homes',
    'choose_upstream',
    'count_ready',
    'decide_retry',
    'estimate_first_token',
    'hash_blocks',
    'limit_share_of',
    'plan_placement',
    'priority_of',
    'rank_by_hash',
    'share_limits',
]
