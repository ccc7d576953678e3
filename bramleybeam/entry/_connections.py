"""Connections of an entry to agents and to other entries."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Final

import attrs
import structlog

from bramleybeam.entry._directory import Directory
from bramleybeam.entry._host_list import Host, HostList
from bramleybeam.links import (
    Accepted,
    Call,
    Chunk,
    Dispatch,
    End,
    Failed,
    Frame,
    Heartbeat,
    Link,
    LinkIdentity,
    LinkLost,
    Notice,
    Refused,
    Reply,
    connect_link,
)
from bramleybeam.messages import (
    Follow,
    Load,
    MessageError,
    Report,
    Topic,
    decode,
    encode,
)

REFRESH_PERIOD_S: Final = 0.5
# Delays between attempts to connect, doubled after each failure.
_MIN_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 2.0
_log = structlog.get_logger('connections')

AttemptFrame = Accepted | Refused | Chunk | End | Failed


@attrs.frozen
class LinkLostEvent:
    """Queued for an attempt when its connection is lost."""


@attrs.define(eq=False)
class AttemptChannel:
    """Frames of one attempt, in order, and the link that it uses."""

    dispatch: Dispatch
    link: Link
    frames: asyncio.Queue[AttemptFrame | LinkLostEvent] = attrs.field(
        factory=asyncio.Queue,
    )


class Connections:
    """Keeps a connection to each listed process and routes its frames.

    ``dropped_frames`` counts frames that belong to no current attempt or do
    not continue the answer.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        directory: Directory,
        hosts: HostList,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Store this process's identity and the directory for reports."""
        self.dropped_frames = 0
        self.on_notice: Callable[[Link, Notice], None] = _ignore_event
        self.on_crash: Callable[[Link, Notice], None] = _ignore_event
        self.on_call: Callable[[Link, Call], None] = _ignore_event
        self.on_heartbeat: Callable[[Link], None] = _ignore_event
        self.on_opened: Callable[[Link], None] = _ignore_event
        self._identity = identity
        self._directory = directory
        self._hosts = hosts
        self._tls = tls
        self._links: dict[str, Link] = {}
        self._connecting: dict[str, asyncio.Task[None]] = {}
        self._channels: dict[tuple[str, int], AttemptChannel] = {}

    @property
    def links(self) -> tuple[Link, ...]:
        """The open connections."""
        return tuple(self._links.values())

    def link_to(self, process: str) -> Link | None:
        """Return the open connection to a process, or ``None``."""
        return self._links.get(process)

    async def refresh(self) -> None:
        """Read the list, note who is leaving and connect to new processes."""
        await self._hosts.refresh()
        for host in self._hosts.hosts:
            if host.upstream:
                view = self._directory.view(host.upstream, host.zone)
                view.listed_leaving = host.state == 'leaving'
            if self._should_connect(host):
                self._connecting[host.name] = asyncio.create_task(
                    self._connect(host),
                )

    async def close(self) -> None:
        """Close all connections and cancel those being opened."""
        for task in self._connecting.values():
            task.cancel()
        for link in self.links:
            link.close()

    def open_attempt(self, link: Link, dispatch: Dispatch) -> AttemptChannel:
        """Send an attempt to an agent and return the channel of its frames."""
        channel = AttemptChannel(dispatch, link)
        self._channels[dispatch.request_id, dispatch.attempt] = channel
        link.send(dispatch)
        return channel

    def close_attempt(self, channel: AttemptChannel) -> None:
        """Stop routing frames to an attempt; later ones are dropped."""
        dispatch = channel.dispatch
        self._channels.pop((dispatch.request_id, dispatch.attempt), None)

    def link_opened(self, link: Link) -> None:
        """Register a connection, whichever side opened it.

        An earlier connection to the process is closed if it belongs to a
        different incarnation or leads to an agent. An agent is sent the
        highest known epoch and asked for its reports.
        """
        previous = self._links.get(link.peer.process)
        self._links[link.peer.process] = link
        if previous is not None and previous is not link:
            is_same_incarnation = (
                previous.peer.incarnation == link.peer.incarnation
            )
            if not is_same_incarnation or link.peer.role == 'agent':
                previous.close()
        if link.peer.role == 'agent':
            link.send(Notice(Topic.FOLLOW, encode(self._make_follow(link))))
        self.on_opened(link)

    def link_lost(self, link: Link) -> None:
        """Notify each attempt on the connection, then reconnect."""
        if self._links.get(link.peer.process) is link:
            self._links.pop(link.peer.process)
        self._directory.detach_link(link)
        for channel in self._channels.values():
            if channel.link is link:
                channel.frames.put_nowait(LinkLostEvent())
        self._reconnect(link.peer.process)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Route a frame to its attempt, the directory or a listener."""
        match frame:
            case Accepted() | Refused() | Chunk() | End() | Failed():
                self._route_to_attempt(link, frame)
            case Heartbeat():
                self.on_heartbeat(link)
            case Notice(topic=Topic.REPORT):
                self._handle_report(link, frame)
            case Notice(topic=Topic.LOAD):
                self._handle_load(link, frame)
            case Notice(topic=Topic.CRASH):
                self.on_crash(link, frame)
            case Notice():
                self.on_notice(link, frame)
            case Call():
                self.on_call(link, frame)

    def broadcast(self, notice: Notice, role: str = '') -> None:
        """Send a notice to all processes, or to all with a role."""
        for link in self.links:
            if not role or link.peer.role == role:
                link.send(notice)

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received over the open connections."""
        sent = sum(link.bytes_sent for link in self.links)
        received = sum(link.bytes_received for link in self.links)
        return sent, received

    async def call(self, process: str, topic: str, body: bytes) -> Reply:
        """Send a call to a process and return its reply.

        Raises ``LinkLost`` if there is no connection or if it ends first, and
        ``TimeoutError`` if no reply arrives in time.
        """
        link = self._links.get(process)
        if link is None:
            raise LinkLost(process)
        return await link.call(topic, body)

    def _route_to_attempt(self, link: Link, frame: AttemptFrame) -> None:
        channel = self._channels.get((frame.request_id, frame.attempt))
        if channel is None or channel.link is not link:
            self.dropped_frames += 1
            return
        channel.frames.put_nowait(frame)

    def _handle_report(self, link: Link, notice: Notice) -> None:
        try:
            report = decode(notice.body, Report)
        except MessageError as error:
            _log.warning('bad_report', peer=link.peer.process, error=str(error))
            return
        self._directory.update_from_report(link, report)

    def _handle_load(self, link: Link, notice: Notice) -> None:
        try:
            load = decode(notice.body, Load)
        except MessageError as error:
            _log.warning('bad_load', peer=link.peer.process, error=str(error))
            return
        self._directory.update_from_load(link, load)

    def _make_follow(self, link: Link) -> Follow:
        epochs = [
            view.report.epoch
            for view in self._directory
            if view.report is not None
            and self._process_of(view.name) == link.peer.process
        ]
        return Follow(max(epochs, default=0))

    def _process_of(self, upstream: str) -> str:
        for host in self._hosts.hosts:
            if host.upstream == upstream:
                return host.name
        return ''

    def _should_connect(self, host: Host) -> bool:
        if host.name == self._identity.process:
            return False
        # Between two entries, the one whose name sorts first connects, so
        # that there is one connection.
        if host.role == 'entry' and host.name < self._identity.process:
            return False
        has_connection = (
            host.name in self._connecting or host.name in self._links
        )
        return not has_connection

    def _reconnect(self, process: str) -> None:
        for host in self._hosts.hosts:
            if host.name == process and self._should_connect(host):
                self._connecting[process] = asyncio.create_task(
                    self._connect(host),
                )

    async def _connect(self, host: Host) -> None:
        backoff_s = _MIN_BACKOFF_S
        try:
            while not await self._try_connect(host):
                await asyncio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
        finally:
            self._connecting.pop(host.name, None)

    async def _try_connect(self, host: Host) -> bool:
        """Try to connect once.

        Returns ``True`` if connected, or if no connection is needed any more.
        """
        if host not in self._hosts.hosts or host.name in self._links:
            return True
        try:
            await connect_link(host.address, self._identity, self, self._tls)
        except LinkLost as error:
            _log.debug('cannot_connect', peer=host.name, error=str(error))
            return False
        return True


def _ignore_event(*_args: object) -> None:
    """Do nothing; stands in for a listener until one is set."""
