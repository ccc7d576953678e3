"""Takes what entries send: attempts, credit, cancels, orders, notices."""

import asyncio
import time
from typing import Final

import structlog

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import (
    KEPT_FINISHED_S,
    AttemptId,
    Relay,
    RelayBook,
)
from bramleybeam.agent._reporter import Reporter
from bramleybeam.agent._runner import AttemptRunner, refused
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

_ORPHAN_LIMIT_S: Final = 10.0
_ALONE_POLL_S: Final = 0.02
_MILLISECONDS: Final = 1000
_log = structlog.get_logger('intake')


class Intake:
    """Handles the connections of an agent."""

    def __init__(
        self,
        identity: LinkIdentity,
        relays: RelayBook,
        reporter: Reporter,
    ) -> None:
        """Store what frames act on; ``connect`` gives the rest."""
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
        """Give the parts that carry out what is asked."""
        self._runner = runner
        self._executor = executor
        self._gossip = gossip

    def link_opened(self, link: Link) -> None:
        """Replace an earlier connection of the same process."""
        for earlier in tuple(self.links):
            if earlier.peer.process == link.peer.process:
                earlier.close()
        self.links.append(link)
        self._gossip.compare(link)
        link.send(self._reporter.make_notice())

    def link_lost(self, link: Link) -> None:
        """Keep the relays of the connection for a while."""
        if link in self.links:
            self.links.remove(link)
        self._relays.detach(link)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Act on one frame of an entry."""
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
                self._gossip.compare(link)
            case Call():
                self._answer_call(link, frame)
            case Notice(topic=Topic.FOLLOW):
                self._follow(link, frame)
            case Notice():
                self._gossip.take_notice(link, frame)

    async def sweep(self) -> None:
        """Forget what ended, and stop what nobody came back for."""
        self._relays.forget_finished()
        horizon = time.monotonic() - _ORPHAN_LIMIT_S
        for relay in self._relays.active:
            if relay.dispatch.idempotent and 0 < relay.detached_at < horizon:
                self._cancel(relay.attempt_id)

    async def close(self) -> None:
        """Close every connection and end every relay."""
        await self._tasks.close()
        for link in tuple(self.links):
            link.close()

    def _dispatch(self, link: Link, dispatch: Dispatch) -> None:
        attempt_id = dispatch.request_id, dispatch.attempt
        known = self._relays.find(attempt_id)
        if known is not None:
            known.attach(link, dispatch.resume_from)
            return
        objection = self._find_objection(dispatch)
        if objection is not None:
            self._relays.revoke(attempt_id)
            link.send(objection)
            return
        relay = Relay(dispatch, link, time.monotonic(), dispatch.credit)
        self._relays.add(relay)
        self._tasks.spawn(self._run(relay))

    def _find_objection(self, dispatch: Dispatch) -> Refused | None:
        attempt_id = dispatch.request_id, dispatch.attempt
        if self._relays.is_revoked(attempt_id):
            return refused(dispatch, ErrorKind.UPSTREAM_LOST, 'Revoked.')
        if self._identity.leaving:
            return refused(dispatch, ErrorKind.SHUTTING_DOWN, 'Leaving.')
        if self._relays.reserved_by() is not None:
            return refused(
                dispatch,
                ErrorKind.NO_READY_UPSTREAM,
                'A suspect runs alone here.',
            )
        if len(self._relays.active) >= self._reporter.max_in_flight:
            return refused(dispatch, ErrorKind.TARGET_UNREACHABLE, 'Full.')
        return None

    async def _run(self, relay: Relay) -> None:
        refusal = await self._wait_alone(relay)
        if refusal is None:
            refusal = await self._runner.run(relay)
        if refusal is not None:
            self._relays.revoke(relay.attempt_id)
            self._relays.drop(relay.attempt_id)
            if relay.link is not None:
                relay.link.send(refusal)

    async def _wait_alone(self, relay: Relay) -> Refused | None:
        """Let a suspect wait until nothing else runs, up to its deadline."""
        dispatch = relay.dispatch
        deadline = relay.started_at + dispatch.deadline_ms / _MILLISECONDS
        while dispatch.alone and len(self._relays.active) > 1:
            if time.monotonic() > deadline:
                return refused(
                    dispatch,
                    ErrorKind.DEADLINE_EXCEEDED,
                    'Others were still running here.',
                )
            await asyncio.sleep(_ALONE_POLL_S)
        return None

    def _cancel(self, attempt_id: AttemptId) -> None:
        relay = self._relays.find(attempt_id)
        self._relays.revoke(attempt_id)
        if relay is not None and relay.ending is None:
            if relay.dispatch.kind != 'service':
                self._tasks.spawn(self._runner.cancel(relay))

    def _answer_call(self, link: Link, call: Call) -> None:
        try:
            body = self._carry_out(link, call)
        except MessageError as error:
            link.send(Reply(call.call_id, ok=False, body=str(error).encode()))
            return
        link.send(Reply(call.call_id, ok=True, body=body))

    def _carry_out(self, link: Link, call: Call) -> bytes:
        match call.topic:
            case Topic.ORDER:
                return encode(self._executor.take(decode(call.body, Order)))
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
        is_same = attach.incarnation == self._identity.incarnation
        if is_same and attach.age_s < KEPT_FINISHED_S:
            return AttachReply(NEVER_RAN)
        return AttachReply(UNKNOWN)

    def _follow(self, link: Link, notice: Notice) -> None:
        try:
            follow = decode(notice.body, Follow)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))
            return
        self._executor.learn_epoch(follow.epoch)
