"""The byte budget of an entry, and its refusals for lack of memory."""

import asyncio
import json
from typing import Final

from bramleybeam.entry import _openai as openai
from bramleybeam.errors import ErrorKind, refuse
from bramleybeam.identity import make_unique_id
from bramleybeam.memory_budget import MemoryBudget, budget_bytes
from bramleybeam.relay import CallerBudget
from bramleybeam.settings import EntrySettings
from bramleybeam.web import CallerLimits

# What an entry takes without requests: 71 MB were measured, and 35 MB more with 300
# connections, each with its parser and the buffer of the system.
_RESERVED_MB: Final = 110
# A body that stalls frees its memory for others after this time.
_RETRY_AFTER_S: Final = 1


def make_caller_limits(settings: EntrySettings) -> CallerLimits:
    """Return the limits of the server for callers."""
    budget = MemoryBudget(
        budget_bytes(settings.memory_mb, _RESERVED_MB), settings.max_connections
    )
    return CallerLimits(CallerBudget(budget, _now), _make_refusal)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _make_refusal() -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Return headers and body of the answer to a request without room."""
    refusal = refuse(ErrorKind.MEMORY_SPENT, retry_after=_RETRY_AFTER_S)
    request_id = make_unique_id('req')
    headers = [
        (b'content-type', b'application/json'),
        (b'x-request-id', request_id.encode()),
        (b'x-execution', str(refusal.execution).encode()),
        (b'retry-after', str(_RETRY_AFTER_S).encode()),
    ]
    body = openai.make_error_body(refusal, request_id)
    return headers, json.dumps(body).encode()
