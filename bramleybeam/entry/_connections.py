"""Connections of an entry to agents and to other entries."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Final

import attrs
import structlog

from bramleybeam.entry._directory import Directory
from bramleybeam.entry._platform import Host, HostList
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
_FIRST_BACKOFF_S: Final = 0.1
_LAST_BACKOFF_S: Final = 2.0
_log = structlog.get_logger('connections')

AttemptFrame = Accepted | Refused | Chunk | End | Failed


@attrs.frozen
class LinkGone:
    """The connection that an attempt was on is lost."""


@attrs.define(eq=False)
class AttemptChannel:
    """Frames of one attempt, in order, and the link it is on."""

    dispatch: Dispatch
    link: Link
    frames: asyncio.Queue[AttemptFrame | LinkGone] = attrs.field(
        factory=asyncio.Queue,
    )


class Connections:
    """Keeps a connection to each listed process and sorts what comes in."""

    def __init__(
        self,
        identity: LinkIdentity,
        directory: Directory,
        hosts: HostList,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Store who connects, and where reports go."""
        self.dropped_frames = 0
        self.on_notice: Callable[[Link, Notice], None] = _ignore
        self.on_crash: Callable[[Link, Notice], None] = _ignore
        self.on_call: Callable[[Link, Call], None] = _ignore
        self.on_heartbeat: Callable[[Link], None] = _ignore
        self.on_opened: Callable[[Link], None] = _ignore
        self._identity = identity
        self._directory = directory
        self._hosts = hosts
        self._tls = tls
        self._links: dict[str, Link] = {}
        self._connecting: dict[str, asyncio.Task[None]] = {}
        self._channels: dict[tuple[str, int], AttemptChannel] = {}

    @property
    def links(self) -> tuple[Link, ...]:
        """Connections that are open."""
        return tuple(self._links.values())

    def link_to(self, process: str) -> Link | None:
        """Return the open connection to a process."""
        return self._links.get(process)

    async def refresh(self) -> None:
        """Connect to what is listed; note who is listed as leaving."""
        await self._hosts.refresh()
        for host in self._hosts.hosts:
            if host.upstream:
                view = self._directory.view(host.upstream, host.zone)
                view.listed_leaving = host.state == 'leaving'
            if self._wants(host):
                self._connecting[host.name] = asyncio.create_task(
                    self._connect(host),
                )

    async def close(self) -> None:
        """Close all connections."""
        for task in self._connecting.values():
            task.cancel()
        for link in self.links:
            link.close()

    def open_attempt(self, link: Link, dispatch: Dispatch) -> AttemptChannel:
        """Send an attempt to an agent and return where its frames arrive."""
        channel = AttemptChannel(dispatch, link)
        self._channels[dispatch.request_id, dispatch.attempt] = channel
        link.send(dispatch)
        return channel

    def close_attempt(self, channel: AttemptChannel) -> None:
        """Let frames of an attempt be dropped from now on."""
        dispatch = channel.dispatch
        self._channels.pop((dispatch.request_id, dispatch.attempt), None)

    def link_opened(self, link: Link) -> None:
        """Keep a connection, whichever side opened it."""
        earlier = self._links.get(link.peer.process)
        self._links[link.peer.process] = link
        if earlier is not None and earlier is not link:
            same = earlier.peer.incarnation == link.peer.incarnation
            if not same or link.peer.role == 'agent':
                earlier.close()
        if link.peer.role == 'agent':
            link.send(Notice(Topic.FOLLOW, encode(self._make_follow(link))))
        self.on_opened(link)

    def link_lost(self, link: Link) -> None:
        """Tell each attempt on the connection, and connect again."""
        if self._links.get(link.peer.process) is link:
            self._links.pop(link.peer.process)
        self._directory.lose_link(link)
        for channel in self._channels.values():
            if channel.link is link:
                channel.frames.put_nowait(LinkGone())
        self._reconnect(link.peer.process)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Sort a frame to its attempt, the directory or a listener."""
        match frame:
            case Accepted() | Refused() | Chunk() | End() | Failed():
                self._sort_to_attempt(link, frame)
            case Heartbeat():
                self.on_heartbeat(link)
            case Notice(topic=Topic.REPORT):
                self._take_report(link, frame)
            case Notice(topic=Topic.LOAD):
                self._take_load(link, frame)
            case Notice(topic=Topic.CRASH):
                self.on_crash(link, frame)
            case Notice():
                self.on_notice(link, frame)
            case Call():
                self.on_call(link, frame)

    def broadcast(self, notice: Notice, role: str = '') -> None:
        """Send a notice to all, or to all of a role."""
        for link in self.links:
            if not role or link.peer.role == role:
                link.send(notice)

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received on the open connections."""
        sent = sum(link.bytes_sent for link in self.links)
        received = sum(link.bytes_received for link in self.links)
        return sent, received

    async def call(self, process: str, topic: str, body: bytes) -> Reply:
        """Call a process; raises ``LinkLost`` or ``TimeoutError``."""
        link = self._links.get(process)
        if link is None:
            raise LinkLost(process)
        return await link.call(topic, body)

    def _sort_to_attempt(self, link: Link, frame: AttemptFrame) -> None:
        channel = self._channels.get((frame.request_id, frame.attempt))
        if channel is None or channel.link is not link:
            self.dropped_frames += 1
            return
        channel.frames.put_nowait(frame)

    def _take_report(self, link: Link, notice: Notice) -> None:
        try:
            report = decode(notice.body, Report)
        except MessageError as error:
            _log.warning('bad_report', peer=link.peer.process, error=str(error))
            return
        self._directory.take_report(link, report)

    def _take_load(self, link: Link, notice: Notice) -> None:
        try:
            load = decode(notice.body, Load)
        except MessageError as error:
            _log.warning('bad_load', peer=link.peer.process, error=str(error))
            return
        self._directory.take_load(link, load)

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

    def _wants(self, host: Host) -> bool:
        if host.name == self._identity.process:
            return False
        # Of two entries the one whose name sorts first connects.
        if host.role == 'entry' and host.name < self._identity.process:
            return False
        busy = host.name in self._connecting or host.name in self._links
        return not busy

    def _reconnect(self, process: str) -> None:
        for host in self._hosts.hosts:
            if host.name == process and self._wants(host):
                self._connecting[process] = asyncio.create_task(
                    self._connect(host),
                )

    async def _connect(self, host: Host) -> None:
        backoff = _FIRST_BACKOFF_S
        try:
            while not await self._try_connect(host):
                await asyncio.sleep(backoff)
                backoff = min(_LAST_BACKOFF_S, backoff * 2)
        finally:
            self._connecting.pop(host.name, None)

    async def _try_connect(self, host: Host) -> bool:
        """Connect once; ``True`` when there is nothing left to try."""
        if host not in self._hosts.hosts or host.name in self._links:
            return True
        try:
            await connect_link(host.address, self._identity, self, self._tls)
        except LinkLost as error:
            _log.debug('cannot_connect', peer=host.name, error=str(error))
            return False
        return True


def _ignore(*_args: object) -> None:
    """Take no notice until a listener is set."""
