"""Sends notices of work to the other gateways, within a limit of bytes."""

import random
from collections.abc import Callable
from typing import Final

from bramleybeam.costs import WorkNotice
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._neighbour_pacer import notice_rate
from bramleybeam.gateway._peer_codec import encode_peer_message
from bramleybeam.limits import ByteBudget

# Work in seconds from which others are told of it. Less of it delays nobody.
_MIN_WORK_S: Final = 0.005


class WorkNotifier:
    """Tells the other gateways what this one sends to replicas.

    If there are too many gateways for the limit, each notice goes to some of
    them, drawn at random. ``send`` takes an address and a datagram;
    ``count_neighbours`` returns the number of neighbours in the tree, which
    share the limit.
    """

    def __init__(
        self,
        directory: Directory,
        local_address: Callable[[], str],
        send: Callable[[str, bytes], None],
        count_neighbours: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Store where the addresses come from."""
        self._directory = directory
        self._local_address = local_address
        self._send = send
        self._count_neighbours = count_neighbours
        self._rng = rng
        rate = notice_rate(1)
        self._budget = ByteBudget(rate, rate, credit=0)

    def notify(self, notice: WorkNotice) -> None:
        """Send a notice to as many gateways as the limit allows."""
        if notice.work_s < _MIN_WORK_S:
            return
        now = self._directory.now()
        rate = notice_rate(self._count_neighbours())
        self._budget.rate = rate
        self._budget.burst = rate
        datagram = encode_peer_message(notice)
        local_address = self._local_address()
        addresses = [
            peer.address
            for peer in self._directory.peers.values()
            if peer.address != local_address
        ]
        self._rng.shuffle(addresses)
        for address in addresses:
            if not self._budget.take(len(datagram), now):
                return
            self._send(address, datagram)
