"""Handles the frames that entries send to an agent."""

import asyncio
import time
from typing import Final

import structlog

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import (
    FINISHED_RETENTION_S,
    AttemptId,
    Relay,
    RelayRegistry,
)
from bramleybeam.agent._reporter import Reporter
from bramleybeam.agent._runner import AttemptRunner, make_refused
from bramleybeam.errors import ErrorKind
from bramleybeam.gossip import ConfigurationGossip
from bramleybeam.links import (
    Call,
    Cancel,
    Credit,
    Dispatch,
    Frame,
    Heartbeat,
    Link,
    LinkIdentity,
    Notice,
    Refused,
    Reply,
)
from bramleybeam.messages import (
    ATTACHED,
    NEVER_RAN,
    UNKNOWN,
    Attach,
    AttachReply,
    Follow,
    MessageError,
    Order,
    Topic,
    decode,
    encode,
)
from bramleybeam.timers import TaskSet

# An idempotent attempt that no entry attaches to within this time is cancelled.
_DETACHED_LIMIT_S: Final = 10.0
_EXCLUSIVE_POLL_S: Final = 0.02
_MS_PER_S: Final = 1000
_log = structlog.get_logger('attempt_receiver')


class AttemptReceiver:
    """Handles the links of an agent and the frames received on them.

    The frames carry attempts, credit, cancellations, orders and notices.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        relays: RelayRegistry,
        reporter: Reporter,
    ) -> None:
        """Store the parts; ``connect`` sets the remaining ones."""
        self.links: list[Link] = []
        self._identity = identity
        self._relays = relays
        self._reporter = reporter
        self._tasks = TaskSet()
        self._runner: AttemptRunner
        self._executor: OrderExecutor
        self._gossip: ConfigurationGossip

    def connect(
        self,
        runner: AttemptRunner,
        executor: OrderExecutor,
        gossip: ConfigurationGossip,
    ) -> None:
        """Set the parts that execute attempts, orders and notices."""
        self._runner = runner
        self._executor = executor
        self._gossip = gossip

    def link_opened(self, link: Link) -> None:
        """Register a link and send a report on it.

        A previous link of the same process is closed.
        """
        for previous in tuple(self.links):
            if previous.peer.process == link.peer.process:
                previous.close()
        self.links.append(link)
        self._gossip.compare_revisions(link)
        link.send(self._reporter.make_report_notice())

    def link_lost(self, link: Link) -> None:
        """Unregister a link; its relays are kept so that they can reattach."""
        if link in self.links:
            self.links.remove(link)
        self._relays.detach(link)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Handle one frame from an entry."""
        match frame:
            case Dispatch():
                self._dispatch(link, frame)
            case Credit():
                relay = self._relays.find((frame.request_id, frame.attempt))
                if relay is not None:
                    relay.add_credit(frame.chunks)
            case Cancel():
                self._cancel((frame.request_id, frame.attempt))
            case Heartbeat():
                self._gossip.compare_revisions(link)
            case Call():
                self._answer_call(link, frame)
            case Notice(topic=Topic.FOLLOW):
                self._follow(link, frame)
            case Notice():
                self._gossip.handle_notice(link, frame)

    async def sweep(self) -> None:
        """Remove old finished relays and cancel abandoned ones.

        A relay is abandoned when it is idempotent and no entry has attached to
        it for ``_DETACHED_LIMIT_S``.
        """
        self._relays.remove_finished()
        detached_before = time.monotonic() - _DETACHED_LIMIT_S
        for relay in self._relays.active:
            if (
                relay.dispatch.idempotent
                and 0 < relay.detached_at < detached_before
            ):
                self._cancel(relay.attempt_id)

    async def close(self) -> None:
        """Stop every running attempt and close every link."""
        await self._tasks.close()
        for link in tuple(self.links):
            link.close()

    def _dispatch(self, link: Link, dispatch: Dispatch) -> None:
        attempt_id = dispatch.request_id, dispatch.attempt
        existing = self._relays.find(attempt_id)
        if existing is not None:
            existing.attach(link, dispatch.resume_from)
            return
        refused_frame = self._check_admission(dispatch)
        if refused_frame is not None:
            self._relays.revoke(attempt_id)
            link.send(refused_frame)
            return
        relay = Relay(dispatch, link, time.monotonic(), dispatch.credit)
        self._relays.add(relay)
        self._tasks.spawn(self._run(relay))

    def _check_admission(self, dispatch: Dispatch) -> Refused | None:
        attempt_id = dispatch.request_id, dispatch.attempt
        if self._relays.is_revoked(attempt_id):
            return make_refused(dispatch, ErrorKind.UPSTREAM_LOST, 'Revoked.')
        if self._identity.leaving:
            return make_refused(dispatch, ErrorKind.SHUTTING_DOWN, 'Leaving.')
        if self._relays.find_exclusive() is not None:
            return make_refused(
                dispatch,
                ErrorKind.NO_READY_UPSTREAM,
                'A request suspected of causing a crash is running alone.',
            )
        if len(self._relays.active) >= self._reporter.max_in_flight:
            return make_refused(dispatch, ErrorKind.TARGET_UNREACHABLE, 'Full.')
        return None

    async def _run(self, relay: Relay) -> None:
        refusal = await self._wait_for_exclusive_run(relay)
        if refusal is None:
            refusal = await self._runner.run(relay)
        if refusal is not None:
            self._relays.revoke(relay.attempt_id)
            self._relays.discard(relay.attempt_id)
            if relay.link is not None:
                relay.link.send(refusal)

    async def _wait_for_exclusive_run(self, relay: Relay) -> Refused | None:
        """Delay a request that has to run alone until no other one runs.

        Returns a refusal when the deadline of the request passes first.
        """
        dispatch = relay.dispatch
        deadline = relay.started_at + dispatch.deadline_ms / _MS_PER_S
        while dispatch.alone and len(self._relays.active) > 1:
            if time.monotonic() > deadline:
                return make_refused(
                    dispatch,
                    ErrorKind.DEADLINE_EXCEEDED,
                    'Other requests were still running here.',
                )
            await asyncio.sleep(_EXCLUSIVE_POLL_S)
        return None

    def _cancel(self, attempt_id: AttemptId) -> None:
        relay = self._relays.find(attempt_id)
        self._relays.revoke(attempt_id)
        if relay is not None and relay.end_frame is None:
            if relay.dispatch.kind != 'service':
                self._tasks.spawn(self._runner.cancel(relay))

    def _answer_call(self, link: Link, call: Call) -> None:
        try:
            body = self._execute_call(link, call)
        except MessageError as error:
            link.send(Reply(call.call_id, ok=False, body=str(error).encode()))
            return
        link.send(Reply(call.call_id, ok=True, body=body))

    def _execute_call(self, link: Link, call: Call) -> bytes:
        match call.topic:
            case Topic.ORDER:
                return encode(self._executor.submit(decode(call.body, Order)))
            case Topic.ATTACH:
                return encode(self._attach(link, decode(call.body, Attach)))
            case Topic.REPORT:
                return encode(self._reporter.make_report())
        raise MessageError(f'unknown topic {call.topic}; upgrade the agent')

    def _attach(self, link: Link, attach: Attach) -> AttachReply:
        attempt_id = attach.request_id, attach.attempt
        relay = self._relays.find(attempt_id)
        if relay is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(relay.attach, link, attach.offset)
            return AttachReply(ATTACHED)
        self._relays.revoke(attempt_id)
        is_same_incarnation = attach.incarnation == self._identity.incarnation
        if is_same_incarnation and attach.age_s < FINISHED_RETENTION_S:
            return AttachReply(NEVER_RAN)
        return AttachReply(UNKNOWN)

    def _follow(self, link: Link, notice: Notice) -> None:
        try:
            follow = decode(notice.body, Follow)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))
            return
        self._executor.note_epoch(follow.epoch)
