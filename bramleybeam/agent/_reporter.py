"""Reports the state and load of the upstream to every entry."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import RelayRegistry
from bramleybeam.agent._runner import LatencyAverages
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.links import Link, LinkIdentity, Notice
from bramleybeam.messages import Load, Report, Topic, encode

LOAD_PERIOD_S: Final = 2.0
REPORT_PERIOD_S: Final = 15.0
# Default limit of requests that an agent runs at the same time.
MAX_IN_FLIGHT: Final = 48
# Decimal places of the times in seconds in load messages.
_ROUND_DIGITS: Final = 4


class Reporter:
    """Sends the state and load of the upstream to every entry.

    A full report is sent when models or health change, and every
    ``REPORT_PERIOD_S`` in case an earlier one was lost. Between full reports,
    only the load is sent, every ``LOAD_PERIOD_S`` and only if it has changed.
    """

    def __init__(
        self,
        upstream: str,
        identity: LinkIdentity,
        keeper: ConfigurationKeeper,
        relays: RelayRegistry,
        list_links: Callable[[], Iterable[Link]],
        max_in_flight: int = MAX_IN_FLIGHT,
    ) -> None:
        """Store the sources of the reports and the links to send them on."""
        self.max_in_flight = max_in_flight
        self.executor: OrderExecutor | None = None
        self.latency = LatencyAverages()
        self._upstream = upstream
        self._identity = identity
        self._keeper = keeper
        self._relays = relays
        self._list_links = list_links
        self._version = 0
        self._report_scheduled = False
        self._last_sent_load: Load | None = None

    def make_report(self) -> Report:
        """Return the current state and load of the upstream."""
        executor = self.executor
        if executor is None:
            raise RuntimeError('set Reporter.executor before the first report')
        document = self._keeper.document
        upstreams = document.upstreams_by_name if document else {}
        declared_upstream = upstreams.get(self._upstream)
        return Report(
            upstream=self._upstream,
            kind=declared_upstream.kind if declared_upstream else 'engine',
            pool=declared_upstream.pool if declared_upstream else '',
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
            step_s=self.latency.step_s,
            first_token_s=self.latency.first_token_s,
        )

    def make_report_notice(self) -> Notice:
        """Return a notice that contains a full report."""
        return Notice(Topic.REPORT, encode(self.make_report()))

    def schedule_report(self) -> None:
        """Send a report in the next iteration of the event loop.

        Changes in the same iteration are sent in one report.
        """
        self._version += 1
        if not self._report_scheduled:
            self._report_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_report)

    async def report(self) -> None:
        """Send a full report to every entry."""
        self._send_report()

    async def report_load(self) -> None:
        """Send the load to every entry if it has changed since the last time."""
        load = self._make_load()
        if load == self._last_sent_load:
            return
        self._last_sent_load = load
        notice = Notice(Topic.LOAD, encode(load))
        for link in self._list_links():
            link.send(notice)

    def _make_load(self) -> Load:
        return Load(
            in_flight=len(self._relays.active),
            step_s=round(self.latency.step_s, _ROUND_DIGITS),
            first_token_s=round(self.latency.first_token_s, _ROUND_DIGITS),
            running=self._relays.count_running(),
        )

    def _send_report(self) -> None:
        self._report_scheduled = False
        notice = self.make_report_notice()
        for link in self._list_links():
            link.send(notice)
