"""Reports the state and load of the upstream to every entry."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import RelayBook
from bramleybeam.agent._runner import Pace
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.links import Link, LinkIdentity, Notice
from bramleybeam.messages import Load, Report, Topic, encode

LOAD_PERIOD_S: Final = 2.0
REPORT_PERIOD_S: Final = 15.0
MAX_IN_FLIGHT: Final = 48
_DIGITS: Final = 4


class Reporter:
    """Tells entries of the upstream's state and load.

    A whole report goes out when models or health change, and each
    ``REPORT_PERIOD_S`` in case one was missed. In between only the load is
    sent, each ``LOAD_PERIOD_S``, and only when it has changed.
    """

    def __init__(
        self,
        upstream: str,
        identity: LinkIdentity,
        keeper: ConfigurationKeeper,
        relays: RelayBook,
        links: Callable[[], Iterable[Link]],
        max_in_flight: int = MAX_IN_FLIGHT,
    ) -> None:
        """Store what reports are made from and who receives them."""
        self.max_in_flight = max_in_flight
        self.executor: OrderExecutor | None = None
        self.pace = Pace()
        self._upstream = upstream
        self._identity = identity
        self._keeper = keeper
        self._relays = relays
        self._links = links
        self._version = 0
        self._due = False
        self._last_load: Load | None = None

    def make_report(self) -> Report:
        """Describe the upstream's state and load."""
        executor = self.executor
        if executor is None:
            raise RuntimeError('set the executor before the first report')
        document = self._keeper.document
        upstreams = document.upstreams_by_name if document else {}
        known = upstreams.get(self._upstream)
        return Report(
            upstream=self._upstream,
            kind=known.kind if known else 'engine',
            pool=known.pool if known else '',
            zone=self._identity.zone,
            incarnation=self._identity.incarnation,
            version=self._version,
            settled=executor.settled,
            healthy=executor.healthy,
            leaving=self._identity.leaving,
            capacity_mb=executor.ledger.capacity_mb,
            epoch=executor.epoch,
            in_flight=len(self._relays.active),
            limit=self.max_in_flight,
            artifacts=tuple(executor.ledger.holdings.values()),
            running=self._relays.count_running(),
            step_s=self.pace.step_s,
            first_token_s=self.pace.first_token_s,
        )

    def make_notice(self) -> Notice:
        """Make a report ready to be sent."""
        return Notice(Topic.REPORT, encode(self.make_report()))

    def report_soon(self) -> None:
        """Send a report at the end of this turn of the event loop."""
        self._version += 1
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_soon(self._send)

    async def report(self) -> None:
        """Send a whole report to every entry."""
        self._send()

    async def report_load(self) -> None:
        """Send the load to every entry if it has changed."""
        load = self._make_load()
        if load == self._last_load:
            return
        self._last_load = load
        notice = Notice(Topic.LOAD, encode(load))
        for link in self._links():
            link.send(notice)

    def _make_load(self) -> Load:
        return Load(
            in_flight=len(self._relays.active),
            step_s=round(self.pace.step_s, _DIGITS),
            first_token_s=round(self.pace.first_token_s, _DIGITS),
            running=self._relays.count_running(),
        )

    def _send(self) -> None:
        self._due = False
        notice = self.make_notice()
        for link in self._links():
            link.send(notice)
