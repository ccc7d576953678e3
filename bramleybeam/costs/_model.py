"""Estimates the work of requests, and learns from their answers."""

from typing import Final

import attrs

from bramleybeam.costs._rates import LearnedRates

# Prompts of fewer tokens tell little of the rate, because most of the time to the
# first event is not spent on them.
_MIN_SAMPLE_TOKENS: Final = 500
# Time to the first event that does not depend on the prompt: the steps to the
# first event, and the network.
_FIRST_EVENT_S: Final = 0.035
# Part of a measured time that is a prompt's own, at least, whatever is estimated
# to have been ahead of it.
_MIN_OWN_SHARE: Final = 0.1
# Answers a second of a plain service's slot, until samples are known.
_DEFAULT_ANSWER_RATE: Final = 20.0


@attrs.frozen
class RequestWork:
    """What a request was estimated to cost when it was sent.

    ``tokens`` are the prompt tokens that had to be processed, 0 for a plain
    service; ``ahead_s`` is the work that the replica had before, ``work_s`` that
    of the request, ``sent_at`` the time. Times are in seconds.
    """

    code: int
    kind: str
    tokens: int
    ahead_s: float
    work_s: float
    sent_at: float


class CostModel:
    """Learns the speed of replicas from the answers of one gateway.

    ``kind`` is the model of a request to an engine, and the route of one to a
    plain service, whose replicas are given by their codes.
    """

    def __init__(self) -> None:
        """Start with the rates that are assumed by default."""
        self._prompts = LearnedRates()
        self._answers = LearnedRates(_DEFAULT_ANSWER_RATE)

    def prompt_work_s(self, code: int, model: str, tokens: int) -> float:
        """Return the seconds that a replica needs for some prompt tokens."""
        return tokens / self._prompts.find((code, model))

    def plain_work_s(self, code: int, route: str, slots: int) -> float:
        """Return the seconds by which a request delays the next ones.

        A replica of a plain service works on ``slots`` requests at a time.
        """
        return 1 / self._answers.find((code, route)) / max(1, slots)

    def learn(self, work: RequestWork, now: float) -> None:
        """Learn from the first event of a stream, or a plain answer."""
        took_s = now - work.sent_at
        if took_s <= 0:
            return
        if not work.tokens:
            self._answers.learn((work.code, work.kind), 1 / took_s)
        elif work.tokens >= _MIN_SAMPLE_TOKENS:
            own_s = took_s - work.ahead_s - _FIRST_EVENT_S
            own_s = max(own_s, _MIN_OWN_SHARE * took_s)
            rate = work.tokens / own_s
            self._prompts.learn((work.code, work.kind), rate)
