"""Detects crashes of the engine and reports the requests in flight."""

from collections.abc import Callable, Iterable

import structlog

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import RelayRegistry
from bramleybeam.links import Link, Notice
from bramleybeam.messages import CrashNotice, Topic, encode

_log = structlog.get_logger('crashes')


class CrashDetector:
    """Reports each crash of the engine to every entry, once.

    The report contains the fingerprints of the requests that were in flight.
    """

    def __init__(
        self,
        process: str,
        executor: OrderExecutor,
        relays: RelayRegistry,
        list_links: Callable[[], Iterable[Link]],
    ) -> None:
        """Store the parts to inspect and the links to report on."""
        self._process = process
        self._executor = executor
        self._relays = relays
        self._list_links = list_links
        # Fingerprints of the requests in flight at the first loss, by boot.
        self._in_flight: dict[int, tuple[str, ...]] = {}
        self._reported_boots: set[int] = set()

    async def confirm_crash(self) -> bool:
        """Return whether a request was lost because the engine crashed.

        The first loss after a boot records the requests in flight. Later
        losses of the same boot are attributed to the same crash.
        """
        boot = self._executor.boot
        in_flight = self._in_flight.setdefault(boot, self._list_fingerprints())
        await self._executor.observe()
        crashed = boot != self._executor.boot or not self._executor.healthy
        if crashed and boot not in self._reported_boots:
            self._reported_boots.add(boot)
            self._report_crash(boot, in_flight)
        if not crashed:
            self._in_flight.pop(boot, None)
        return crashed

    def _list_fingerprints(self) -> tuple[str, ...]:
        return tuple(
            {
                relay.dispatch.fingerprint
                for relay in self._relays.active
                if relay.sent_to_upstream
            }
        )

    def _report_crash(self, boot: int, fingerprints: tuple[str, ...]) -> None:
        _log.error('engine_crashed', boot=boot, in_flight=len(fingerprints))
        crash = CrashNotice(f'{self._process}/{boot}', fingerprints)
        notice = Notice(Topic.CRASH, encode(crash))
        for link in self._list_links():
            link.send(notice)
