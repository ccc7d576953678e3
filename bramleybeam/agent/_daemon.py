"""The agent process: admission to its upstream, orders, reports, drain."""

import asyncio
import time
from collections import Counter
from typing import Final

import structlog

from bramleybeam.agent._adapters import AdapterCache
from bramleybeam.agent._health import make_health_app
from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import Relay, RelayBook
from bramleybeam.agent._runner import AttemptRunner, refused
from bramleybeam.agent._upstream import UpstreamClient
from bramleybeam.documents import Applied, ConfigurationKeeper
from bramleybeam.errors import ErrorKind
from bramleybeam.identity import make_identity
from bramleybeam.links import (
    Call,
    Cancel,
    Credit,
    Dispatch,
    Frame,
    Heartbeat,
    Link,
    LinkServer,
    Notice,
    Refused,
    Reply,
)
from bramleybeam.messages import (
    Attach,
    AttachReply,
    Configuration,
    Follow,
    MessageError,
    Order,
    Report,
    Topic,
    decode,
    encode,
)
from bramleybeam.settings import AgentSettings
from bramleybeam.telemetry import Metrics, Tracing
from bramleybeam.timers import TimerService
from bramleybeam.web import HttpServer

OBSERVE_PERIOD_S: Final = 0.25
REPORT_PERIOD_S: Final = 1.0
MAX_IN_FLIGHT: Final = 48
_ORPHAN_LIMIT_S: Final = 10.0
_DRAIN_POLL_S: Final = 0.05
_log = structlog.get_logger('agent')


class AgentDaemon:
    """Stands beside one upstream and is the only process that talks to it."""

    def __init__(self, settings: AgentSettings) -> None:
        """Build the parts; ``start`` opens the ports."""
        self.settings = settings
        self.keeper = ConfigurationKeeper()
        self.identity = make_identity(
            settings.name,
            'agent',
            settings.zone,
            settings.peer_key,
        )
        self.metrics = Metrics('agent')
        self.tracing = Tracing(settings.name, settings.tracing)
        self.timers = TimerService()
        self.relays = RelayBook()
        self.upstream = UpstreamClient(settings.upstream_url)
        self.executor = OrderExecutor(
            self.upstream,
            self._is_in_use,
            self._report_soon,
        )
        self._runner = AttemptRunner(
            self.upstream,
            self.executor,
            AdapterCache(self.executor, self.identity.incarnation),
            self.keeper,
            self.tracing,
        )
        self._server = LinkServer(settings.listen, self.identity, self)
        self._web = HttpServer(make_health_app(self), settings.operator_listen)
        self._links: list[Link] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._arrivals: Counter[str] = Counter()
        self._version = 0
        self._report_due = False
        self.keeper.subscribe(self._configuration_changed)

    @property
    def address(self) -> str:
        """Address that entries connect to."""
        return self._server.address

    @property
    def is_service(self) -> bool:
        """Whether the upstream is a plain service."""
        document = self.keeper.document
        if document is None:
            return False
        known = document.upstreams_by_name.get(self.settings.upstream)
        return known is not None and known.kind == 'service'

    @property
    def leaving(self) -> bool:
        """Whether new work is refused."""
        return self.identity.leaving

    async def start(self) -> None:
        """Open the ports and begin to observe the upstream."""
        self.upstream.start()
        await self._server.start()
        await self._web.start()
        self.timers.subscribe('observe', OBSERVE_PERIOD_S, self._observe)
        self.timers.subscribe('report', REPORT_PERIOD_S, self._report_now)
        self.timers.subscribe('sweep', REPORT_PERIOD_S, self._sweep)
        _log.info('agent_started', address=self.address)

    async def shut_down(self) -> None:
        """Refuse new work, finish what runs, then close."""
        self.identity.leaving = True
        for link in self._links:
            link.send_heartbeat()
        self._report_soon()
        deadline = time.monotonic() + self.settings.shutdown_s
        while self.relays.active and time.monotonic() < deadline:
            await asyncio.sleep(_DRAIN_POLL_S)
        await asyncio.sleep(_DRAIN_POLL_S)
        await self.close()

    async def close(self) -> None:
        """Close at once."""
        await self.timers.close()
        for task in self._tasks:
            task.cancel()
        await self.executor.close()
        await self._server.close()
        for link in tuple(self._links):
            link.close()
        await self._web.close()
        await self.upstream.close()
        self.tracing.close()

    def link_opened(self, link: Link) -> None:
        """Replace an earlier connection of the same process."""
        for earlier in tuple(self._links):
            if earlier.peer.process == link.peer.process:
                earlier.close()
        self._links.append(link)
        self._compare_revisions(link, link.peer.revision)
        link.send(self._make_report_notice())

    def link_lost(self, link: Link) -> None:
        """Keep the relays of the connection for a while."""
        if link in self._links:
            self._links.remove(link)
        self.relays.detach(link)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Act on one frame of an entry."""
        match frame:
            case Dispatch():
                self._dispatch(link, frame)
            case Credit(request_id=request_id, attempt=attempt):
                relay = self.relays.find((request_id, attempt))
                if relay is not None:
                    relay.add_credit(frame.chunks)
            case Cancel(request_id=request_id, attempt=attempt):
                self._cancel((request_id, attempt))
            case Heartbeat():
                self._compare_revisions(link, frame.revision)
            case Call():
                self._answer_call(link, frame)
            case Notice():
                self._take_notice(link, frame)

    def make_report(self) -> Report:
        """Describe the upstream's state and load."""
        executor = self.executor
        document = self.keeper.document
        upstreams = document.upstreams_by_name if document else {}
        known = upstreams.get(self.settings.upstream)
        return Report(
            upstream=self.settings.upstream,
            kind=known.kind if known else 'engine',
            pool=known.pool if known else '',
            zone=self.settings.zone,
            incarnation=self.identity.incarnation,
            version=self._version,
            settled=executor.settled,
            healthy=executor.healthy,
            leaving=self.leaving,
            capacity_mb=executor.ledger.capacity_mb,
            epoch=executor.epoch,
            in_flight=len(self.relays.active),
            limit=MAX_IN_FLIGHT,
            artifacts=tuple(executor.ledger.holdings.values()),
            arrivals=dict(self._arrivals),
            step_s=self._runner.pace.step_s,
            first_token_s=self._runner.pace.first_token_s,
        )

    def _dispatch(self, link: Link, dispatch: Dispatch) -> None:
        attempt_id = dispatch.request_id, dispatch.attempt
        known = self.relays.find(attempt_id)
        if known is not None:
            known.attach(link, dispatch.resume_from)
            return
        objection = self._find_objection(dispatch)
        if objection is not None:
            self.relays.revoke(attempt_id)
            link.send(objection)
            return
        self._arrivals[dispatch.base_model or dispatch.target] += 1
        relay = Relay(dispatch, link, time.monotonic(), dispatch.credit)
        self.relays.add(relay)
        self._spawn(self._run(relay))

    def _find_objection(self, dispatch: Dispatch) -> Refused | None:
        attempt_id = dispatch.request_id, dispatch.attempt
        if self.relays.is_revoked(attempt_id):
            return refused(dispatch, ErrorKind.UPSTREAM_LOST, 'Revoked.')
        if self.leaving:
            return refused(dispatch, ErrorKind.SHUTTING_DOWN, 'Leaving.')
        if len(self.relays.active) >= MAX_IN_FLIGHT:
            return refused(dispatch, ErrorKind.TARGET_UNREACHABLE, 'Full.')
        return None

    async def _run(self, relay: Relay) -> None:
        refusal = await self._runner.run(relay)
        if refusal is not None:
            self.relays.revoke(relay.attempt_id)
            self.relays.drop(relay.attempt_id)
            if relay.link is not None:
                relay.link.send(refusal)

    def _cancel(self, attempt_id: tuple[str, int]) -> None:
        relay = self.relays.find(attempt_id)
        self.relays.revoke(attempt_id)
        if relay is not None and relay.ending is None:
            relay.cancelled = True
            if not self.is_service:
                self._spawn(self.upstream.cancel(attempt_id[0]))

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
                return encode(self.executor.take(decode(call.body, Order)))
            case Topic.ATTACH:
                return encode(self._attach(link, decode(call.body, Attach)))
            case Topic.REPORT:
                return encode(self.make_report())
        raise MessageError(f'unknown topic {call.topic}; upgrade the agent')

    def _attach(self, link: Link, attach: Attach) -> AttachReply:
        attempt_id = attach.request_id, attach.attempt
        relay = self.relays.find(attempt_id)
        if relay is None:
            self.relays.revoke(attempt_id)
            return AttachReply(known=False)
        loop = asyncio.get_running_loop()
        loop.call_soon(relay.attach, link, attach.offset)
        return AttachReply(known=True)

    def _take_notice(self, link: Link, notice: Notice) -> None:
        try:
            match notice.topic:
                case Topic.FOLLOW:
                    follow = decode(notice.body, Follow)
                    self.executor.learn_epoch(follow.epoch)
                case Topic.CONFIGURATION:
                    offered = decode(notice.body, Configuration)
                    self.keeper.offer(offered.text, link.peer.process)
                case Topic.CONFIGURATION_REQUEST:
                    self._send_configuration(link)
        except MessageError as error:
            _log.warning('bad_notice', peer=link.peer.process, error=str(error))

    def _compare_revisions(self, link: Link, revision: int) -> None:
        if revision > self.keeper.revision:
            link.send(Notice(Topic.CONFIGURATION_REQUEST))
        elif revision < self.keeper.revision:
            self._send_configuration(link)

    def _send_configuration(self, link: Link) -> None:
        if self.keeper.revision:
            offered = Configuration(self.keeper.revision, self.keeper.text)
            link.send(Notice(Topic.CONFIGURATION, encode(offered)))

    def _configuration_changed(self, applied: Applied) -> None:
        self.identity.revision = applied.revision
        known = applied.document.upstreams_by_name.get(self.settings.upstream)
        if known is not None:
            self.executor.limit_memory(known.accelerator_mb)
        for link in self._links:
            link.send_heartbeat()
            self._compare_revisions(link, link.peer.revision)
        self._report_soon()

    async def _observe(self) -> None:
        if self.is_service:
            self.executor.healthy = await self.upstream.is_healthy()
        else:
            await self.executor.observe()

    async def _report_now(self) -> None:
        self._send_report()

    async def _sweep(self) -> None:
        self.relays.forget_finished()
        horizon = time.monotonic() - _ORPHAN_LIMIT_S
        for relay in self.relays.active:
            if relay.dispatch.idempotent and 0 < relay.detached_at < horizon:
                self._cancel(relay.attempt_id)

    def _report_soon(self) -> None:
        self._version += 1
        if not self._report_due:
            self._report_due = True
            asyncio.get_running_loop().call_soon(self._send_report)

    def _send_report(self) -> None:
        self._report_due = False
        notice = self._make_report_notice()
        for link in self._links:
            link.send(notice)

    def _make_report_notice(self) -> Notice:
        return Notice(Topic.REPORT, encode(self.make_report()))

    def _is_in_use(self, name: str) -> bool:
        return any(
            name in {relay.dispatch.target, relay.dispatch.base_model}
            for relay in self.relays.active
        )

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
