"""Sends notices of work to the other gateways, within a limit of bytes."""

import random
from typing import Final

from bramleybeam.costs import WorkNotice
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._exchange import PeerExchange
from bramleybeam.gateway._neighbour_pacer import notice_rate
from bramleybeam.gateway._peer_codec import encode_peer_message
from bramleybeam.gateway._peer_messages import PeerMessage
from bramleybeam.gateway._peers import PeerPort
from bramleybeam.limits import ByteBudget

# Work in seconds from which others are told of it. Less of it delays nobody.
_MIN_WORK_S: Final = 0.005


class WorkNotifier:
    """Tells the other gateways what this one sends to replicas.

    If there are too many gateways for the limit, each notice goes to some of
    them, drawn at random. The neighbours in the tree share the limit.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        peers: PeerPort,
        exchange: PeerExchange,
        rng: random.Random,
    ) -> None:
        """Store where the addresses come from."""
        self._directory = cluster_state.directory
        self._backlogs = cluster_state.backlogs
        self._peers = peers
        self._exchange = exchange
        self._rng = rng
        rate = notice_rate(1)
        self._budget = ByteBudget(rate, rate, credit=0)

    def notify(self, notice: WorkNotice) -> None:
        """Send a notice to as many gateways as the limit allows."""
        if notice.work_s < _MIN_WORK_S:
            return
        now = self._directory.now()
        neighbours = len(self._exchange.children) + bool(self._exchange.parent)
        rate = notice_rate(neighbours)
        self._budget.rate = rate
        self._budget.burst = rate
        datagram = encode_peer_message(notice)
        addresses = [
            peer.address
            for peer in self._directory.peers.values()
            if peer.address != self._peers.address
        ]
        self._rng.shuffle(addresses)
        for address in addresses:
            if not self._budget.take(len(datagram), now):
                return
            self._peers.send(address, datagram)

    def receive(self, message: PeerMessage, _sender: str) -> bool:
        """Record a notice of another gateway; return whether it is one."""
        if not isinstance(message, WorkNotice):
            return False
        self._backlogs.add(message, self._directory.now())
        return True
