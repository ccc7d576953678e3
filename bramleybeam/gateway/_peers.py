"""The UDP port over which gateways exchange datagrams.

Datagrams are only accepted from the addresses of gateways that the store lists.
The data of a lost datagram is sent again by a later one.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._peer_codec import (
    UnreadablePeerMessageError,
    decode_peer_message,
)
from bramleybeam.gateway._peer_messages import PeerMessage
from bramleybeam.gateway._status import Traffic

_log = structlog.get_logger('peers')


class PeerPort(asyncio.DatagramProtocol):
    """Sends datagrams, and passes on the messages of listed gateways.

    ``receivers`` are called in their order with a message and the sender's
    address, until one returns ``True`` because the message was for it.
    """

    def __init__(
        self,
        directory: Directory,
        address: str,
        traffic: Traffic,
    ) -> None:
        """Store the local address ``IP:PORT``."""
        self.receivers: list[Callable[[PeerMessage, str], bool | None]] = []
        self.address = address
        self._directory = directory
        self._traffic = traffic
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the port, and set ``address`` to the one that was bound."""
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._transport = transport
        bound = transport.get_extra_info('sockname')
        self.address = f'{bound[0]}:{bound[1]}'

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram to another gateway."""
        host, _, port = address.rpartition(':')
        if self._transport is not None and port.isdigit():
            self._transport.sendto(datagram, (host, int(port)))
            self._traffic.note_sent('peers', len(datagram))

    def datagram_received(self, received: bytes, addr: Any) -> None:
        """Handle a datagram; ignore it if the store lists no such sender."""
        sender = f'{addr[0]}:{addr[1]}'
        self._traffic.note_received('peers', len(received))
        if not self._directory.lists_peer(sender):
            return
        try:
            message = decode_peer_message(received)
        except UnreadablePeerMessageError as error:
            _log.warning(
                'peer_message_unreadable', sender=sender, error=str(error)
            )
            return
        for receive in self.receivers:
            if receive(message, sender):
                return

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        _log.debug('peer_message_undelivered', error=repr(exc))
