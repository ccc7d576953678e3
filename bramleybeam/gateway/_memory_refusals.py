"""The byte budget of a gateway, and the refusals for lack of memory."""

from functools import partial
from typing import Final

from bramleybeam import platform
from bramleybeam.catalog import HostSettings
from bramleybeam.errors import ErrorKind, refuse
from bramleybeam.gateway._answers import answer_refusal
from bramleybeam.gateway._metrics import GatewayMetrics
from bramleybeam.memory_budget import MemoryBudget, budget_bytes
from bramleybeam.relay import (
    CallerBudget,
    CallerConnection,
    CallerServer,
    InboundRequest,
)

# Share of the file descriptors that callers may use. The others are for
# replicas, of which several callers use the same connections, and the store.
_CALLERS_SHARE: Final = 0.75
# A body that stalls frees its memory for others after this time.
_RETRY_AFTER_S: Final = 1.0


def limit_memory(
    callers: CallerServer, settings: HostSettings, metrics: GatewayMetrics
) -> CallerBudget:
    """Give the callers' server a byte budget; return it."""
    budget = MemoryBudget(
        budget_bytes(settings.memory_mb),
        int(settings.max_descriptors * _CALLERS_SHARE),
    )
    callers.budget = CallerBudget(budget, callers.now)
    callers.refuse = partial(_refuse, metrics)
    metrics.watch_callers(callers.budget)
    return callers.budget


def _refuse(
    metrics: GatewayMetrics,
    request: InboundRequest,
    connection: CallerConnection,
) -> None:
    """Answer a request that was not handled, because there is no memory."""
    facts = platform.describe_request(request)
    refusal = refuse(ErrorKind.MEMORY_SPENT, retry_after=_RETRY_AFTER_S)
    metrics.note_refused('', refusal.kind)
    answer_refusal(facts.request_id if facts else '', connection, refusal)
