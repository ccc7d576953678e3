"""Chooses the upstream of a request, in order of slack, or refuses it.

Slack is the time left until a request misses the target of its class.
"""

import random
import time
from collections import defaultdict
from typing import Final

import attrs

from bramleybeam.decisions import (
    Candidate,
    EstimatePolicy,
    Policy,
    PrefixHistory,
    hash_blocks,
    limit_share_of,
)
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._exchange import Exchange, RequestRefusedError
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse
from bramleybeam.queueing import (
    QueuedRequest,
    RequestQueue,
    cannot_meet_deadline,
    expected_wait,
    spread_retry,
)

# Longest time between two checks of a queued request. Its slack and its queue
# time limit change without a notification.
_MAX_WAIT_STEP_S: Final = 0.25


class UpstreamChooser:
    """Queues the requests for each model until an upstream has capacity.

    The request with the least slack is assigned first.
    """

    def __init__(
        self,
        directory: Directory,
        rng: random.Random,
        policy: Policy | None = None,
    ) -> None:
        """Store the upstreams and the policy that chooses among them."""
        self._directory = directory
        self._rng = rng
        self._policy = policy or EstimatePolicy()
        self._prefixes = PrefixHistory()
        self._queues: dict[str, RequestQueue] = defaultdict(RequestQueue)

    async def choose(self, exchange: Exchange) -> Candidate:
        """Return the upstream for a request, once one has capacity.

        Raises ``RequestRefusedError`` if the queue time limit of the class,
        ``longest_wait_s``, is exceeded or is expected to be.
        """
        queue = self._queues[exchange.base_model or exchange.target]
        queued = _make_queued_request(exchange)
        blocks = _hash_prompt(exchange)
        queue.add(queued)
        try:
            while True:
                candidates = self._list_candidates(exchange, queued, blocks)
                chosen = self._try_choose(queued, queue, candidates)
                if chosen is not None:
                    self._prefixes.note(chosen.name, blocks, time.monotonic())
                    return chosen
                self._check_queue_time(exchange, queue, candidates)
                wait_s = min(_MAX_WAIT_STEP_S, exchange.time_left)
                await self._directory.wait_for_change(wait_s)
        finally:
            queue.discard(queued)
            self._directory.notify_change()

    def _try_choose(
        self,
        queued: QueuedRequest,
        queue: RequestQueue,
        candidates: list[Candidate],
    ) -> Candidate | None:
        """Return an upstream with capacity if it is the request's turn."""
        now = time.monotonic()
        if self._policy.uses_slack and not queue.is_next(queued, now):
            return None
        chosen = self._policy.choose(candidates, self._rng)
        if chosen is not None:
            queue.note_served(queued, now)
        return chosen

    def _check_queue_time(
        self,
        exchange: Exchange,
        queue: RequestQueue,
        candidates: list[Candidate],
    ) -> None:
        """Refuse a request whose queue time limit is or will be exceeded."""
        if exchange.time_left <= 0:
            raise RequestRefusedError(
                _make_unplaced_refusal(exchange, candidates)
            )
        if exchange.attempts or not self._policy.uses_slack:
            return
        wait_s = expected_wait(candidates, len(queue) - 1)
        if wait_s is not None and cannot_meet_deadline(
            wait_s, candidates, exchange.time_left
        ):
            raise RequestRefusedError(
                refuse(
                    ErrorKind.TARGET_UNREACHABLE,
                    f'About {wait_s:.1f} s of queue time are expected.',
                    retry_after=spread_retry(wait_s, self._rng.random()),
                ),
            )

    def _list_candidates(
        self,
        exchange: Exchange,
        queued: QueuedRequest,
        blocks: list[int],
    ) -> list[Candidate]:
        if exchange.kind == 'service':
            return self._directory.service_candidates(exchange.target)
        matching = self._directory.candidates(
            exchange.base_model,
            exchange.target,
        )
        now = time.monotonic()
        share = limit_share_of(exchange.assigned_class)
        if queued.slack(now) < 0:
            # When its turn has come, it must not block the others.
            share = 1
        return [
            attrs.evolve(
                candidate,
                share=share,
                cached_share=self._prefixes.share(candidate.name, blocks, now),
            )
            for candidate in matching
        ]


def _make_queued_request(exchange: Exchange) -> QueuedRequest:
    return QueuedRequest(
        exchange.received_at,
        exchange.assigned_class.answer_within_s,
        exchange.assigned_class.longest_wait_s,
    )


def _hash_prompt(exchange: Exchange) -> list[int]:
    if exchange.kind == 'service':
        return []
    return hash_blocks(exchange.target, exchange.raw_body)


def _make_unplaced_refusal(
    exchange: Exchange,
    candidates: list[Candidate],
) -> Refusal:
    execution = Execution.NOT_RUN
    if exchange.offset:
        execution = Execution.OUTCOME_UNKNOWN
    if candidates:
        return refuse(
            ErrorKind.TARGET_UNREACHABLE,
            'Every upstream that holds the model is full.',
            execution,
            retry_after=1,
        )
    return refuse(
        ErrorKind.NO_READY_UPSTREAM,
        f'Asked: {exchange.target}.',
        execution,
        retry_after=1,
    )
