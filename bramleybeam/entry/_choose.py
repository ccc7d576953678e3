"""Chooses the upstream of a request, in order of slack, or refuses early."""

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
    QueuedRequest,
    cannot_meet_deadline,
    expected_wait,
    hash_blocks,
    is_next,
    limit_share_of,
)
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._exchange import Exchange, Refusing
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse

_WAIT_STEP_S: Final = 0.25


class Chooser:
    """Lets requests for one model wait in order of slack until one has room."""

    def __init__(
        self,
        directory: Directory,
        rng: random.Random,
        policy: Policy | None = None,
    ) -> None:
        """Store what is known of upstreams and how to choose."""
        self._directory = directory
        self._rng = rng
        self._policy = policy or EstimatePolicy()
        self._prefixes = PrefixHistory()
        self._rooms: dict[str, list[QueuedRequest]] = defaultdict(list)

    async def choose(self, exchange: Exchange) -> Candidate:
        """Wait for an upstream; raises ``Refusing`` when waiting is over."""
        room = self._rooms[exchange.base_model or exchange.target]
        mine = _make_waiting(exchange)
        blocks = _hash_prompt(exchange)
        room.append(mine)
        try:
            while True:
                candidates = self._candidates(exchange, blocks)
                chosen = self._try_choose(mine, room, candidates)
                if chosen is not None:
                    self._prefixes.note(chosen.name, blocks, time.monotonic())
                    return chosen
                self._check_patience(exchange, room, candidates)
                wait = min(_WAIT_STEP_S, exchange.time_left)
                await self._directory.wait_for_change(wait)
        finally:
            room.remove(mine)
            self._directory.signal()

    def _try_choose(
        self,
        mine: QueuedRequest,
        room: list[QueuedRequest],
        candidates: list[Candidate],
    ) -> Candidate | None:
        now = time.monotonic()
        if self._policy.uses_slack and not is_next(mine, room, now):
            return None
        return self._policy.choose(candidates, self._rng)

    def _check_patience(
        self,
        exchange: Exchange,
        room: list[QueuedRequest],
        candidates: list[Candidate],
    ) -> None:
        """Refuse when the longest wait is over, or will surely be."""
        if exchange.time_left <= 0:
            raise Refusing(_refuse_unplaced(exchange, candidates))
        if exchange.attempts or not self._policy.uses_slack:
            return
        wait = expected_wait(candidates, len(room) - 1)
        if cannot_meet_deadline(wait, candidates, exchange.time_left):
            raise Refusing(
                refuse(
                    ErrorKind.TARGET_UNREACHABLE,
                    f'About {wait or 0:.1f} s of waiting are expected.',
                    retry_after=wait,
                ),
            )

    def _candidates(
        self,
        exchange: Exchange,
        blocks: list[int],
    ) -> list[Candidate]:
        if exchange.kind == 'service':
            return self._directory.service_candidates(exchange.target)
        found = self._directory.candidates(
            exchange.base_model,
            exchange.target,
        )
        share = limit_share_of(exchange.work)
        now = time.monotonic()
        return [
            attrs.evolve(
                candidate,
                share=share,
                cached_share=self._prefixes.share(candidate.name, blocks, now),
            )
            for candidate in found
        ]


def _make_waiting(exchange: Exchange) -> QueuedRequest:
    return QueuedRequest(
        exchange.received_at,
        exchange.work.answer_within_s,
        exchange.work.longest_wait_s,
    )


def _hash_prompt(exchange: Exchange) -> list[int]:
    if exchange.kind == 'service':
        return []
    return hash_blocks(exchange.target, exchange.raw)


def _refuse_unplaced(
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
