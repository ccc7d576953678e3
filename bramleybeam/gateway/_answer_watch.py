"""Whether an answer without a stated length was whole when it ended.

Such an answer ends with its connection, and so does one that its replica leaves
unfinished when it ends: the system closes the connections of the process in the
same way.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Final

import attrs
import structlog

from bramleybeam.catalog import Replica
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._replica_liveness import ReplicaLiveness
from bramleybeam.liveness import Guard, Liveness
from bramleybeam.relay import ReplyHead
from bramleybeam.timers import boot_clock

# Time after the head of an answer without a stated length until a guard is opened:
# short answers have ended by then.
_HEAD_DELAY_S: Final = 0.02
# The same after the sending of a request, early enough for the guard to reply before
# the process could have been replaced.
_SENDING_DELAY_S: Final = 0.3
_log = structlog.get_logger('attempts')


@attrs.define
class AnswerWatch:
    """Watches the replica that answers a request.

    The request was sent at ``sent_at``, in seconds by a clock that includes
    suspension.
    """

    job: Job
    replica: Replica
    liveness: ReplicaLiveness
    sent_at: float
    _guard: Guard | None = None
    _has_stated_end: bool = False
    _resources: ExitStack = attrs.field(factory=ExitStack)

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Watch the replica within the context.

        A plain service does not say when it started, so that the replica is
        guarded before its answer begins, if that takes a while.
        """
        with self._resources:
            if self.job.service.engine is None:
                self._hold_guard(_SENDING_DELAY_S)
            yield

    def note_head(self, head: ReplyHead) -> None:
        """Record the head of the answer; most state how the body ends."""
        self._has_stated_end = head.is_self_delimited
        if self._has_stated_end:
            self._resources.close()
        else:
            self._hold_guard(_HEAD_DELAY_S)

    async def is_whole(self) -> bool:
        """Return whether the answer was whole, once its connection has ended.

        Without a stated length, it was if the replica that wrote it lives on.
        """
        if self._has_stated_end:
            return True
        ended_at = boot_clock()
        liveness = await self.liveness.check(
            self.replica, self.job.service, self.sent_at, self._guard
        )
        _log.info(
            'answer_end_observed',
            request=self.job.facts.request_id,
            replica=self.replica.name,
            liveness=liveness,
            answered_s=round(ended_at - self.sent_at, 3),
            observed_s=round(boot_clock() - ended_at, 3),
        )
        return liveness == Liveness.ALIVE

    def _hold_guard(self, delay_s: float) -> None:
        self._guard = self._resources.enter_context(
            self.liveness.guard(
                self.replica, self.job.service, self.sent_at, delay_s
            )
        )
