"""Quotas of workspaces: charges requests, and exchanges the messages.

The decisions are made by the package ``quotas``; this module gives them the time,
the messages of other gateways, and what the store says.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings, Quota, RoutingConfiguration
from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._peer_codec import encode_peer_message
from bramleybeam.gateway._peer_messages import PeerMessage
from bramleybeam.gateway._planner_lease import PlannerLease
from bramleybeam.gateway._quota_coordination import QuotaCoordination
from bramleybeam.gateway._tree import ObservedPlanner
from bramleybeam.quotas import (
    Charge,
    QuotaClient,
    QuotaGrant,
    QuotaRequest,
    StoreContact,
)

# A request waits for a balance for up to this many seconds, and for this part of
# its objective, but at least for the last number.
_MAX_WAIT_S: Final = 0.25
_OBJECTIVE_SHARE: Final = 0.25
_MIN_WAIT_S: Final = 0.05
# Requests that find no balance within this time are reported together.
_COALESCE_S: Final = 0.005
# Retry-After when the coordinator has not answered, and the shortest one when
# it has.
_RETRY_AFTER_S: Final = 0.5
_MIN_RETRY_AFTER_S: Final = 0.05
_TOTALS_S: Final = 1.0
# Most workspaces of which there are metrics.
_MAX_SHOWN: Final = 50
_INCARNATION_BITS: Final = 48
_log = structlog.get_logger('quotas')


class QuotaKeeper:
    """The quotas at one gateway, and their coordinator at the planner's.

    ``send`` takes an address and a datagram. Nothing is sent if no workspace
    has a quota. ``entry_revision`` returns the revision of this gateway's entry
    in the store while it is certainly there, otherwise ``None``.
    """

    def __init__(
        self,
        settings: HostSettings,
        directory: Directory,
        lease: PlannerLease,
        send: Callable[[str, bytes], None],
    ) -> None:
        """Start without quotas, and subscribe to changes."""
        self.entry_revision: Callable[[], int | None] = _no_revision
        self._host = settings.name
        self._directory = directory
        self._send = send
        self._contact = StoreContact()
        self._coordination = QuotaCoordination(
            settings.quota_bounds, directory, lease, self._announce
        )
        self._client = QuotaClient(
            platform.boot_clock,
            random.SystemRandom().getrandbits(_INCARNATION_BITS),
            settings.quota_bounds,
        )
        self._refused: Counter[str] = Counter()
        self._configuration: RoutingConfiguration | None = None
        self._quotas: dict[str, Quota] = {}
        self._pump_handle: asyncio.TimerHandle | None = None
        self._logged_at = float('-inf')
        self._logged_totals: dict[str, dict[str, float]] = {}
        directory.on_change.append(self._apply_configuration)
        lease.knows_gateways = self._knows_gateways

    async def charge(self, job: Job) -> None:
        """Reserve what a request costs, unless that is done already.

        Waits for a balance for a short time. Raises ``RequestRefusedError``.
        """
        workspace = job.workspace
        if workspace is None or self._is_charged(job):
            return
        job.charge = None
        quota = self._quotas.get(workspace.name)
        cost = quota.cost(job.facts.counted_tokens) if quota else 0
        limits = self._client.find_limits(workspace.name)
        if limits is None or not cost:
            return
        if cost > limits.largest_cost:
            raise self._refusal(job, cost, refuse(ErrorKind.CALLER_LIMIT))
        job.charge = self._client.reserve(workspace.name, cost)
        if job.charge is None:
            job.charge = await self._wait(workspace.name, cost, job)
        self._pump_soon()
        if job.charge is None:
            raise self._refusal(job, cost, self._explain(workspace.name, cost))

    async def keep(self) -> None:
        """Do the periodic work: follow the lease, and report balances."""
        now = platform.boot_clock()
        self._contact.note_age(now, self._directory.freshness.age_s)
        revision = self.entry_revision()
        if revision is not None:
            self._contact.note_listed(now, revision)
        if not self._quotas:
            return
        self._coordination.keep(
            self._quotas, knows_gateways=self._contact.knows_gateways(now)
        )
        self._pump()
        self._log_totals(now)

    def receive(self, message: PeerMessage, sender: str) -> bool:
        """Handle a message of the gateway with the address ``sender``.

        Returns whether it is one on quotas.
        """
        match message:
            case QuotaRequest():
                grant = self._coordination.answer(message, sender)
                if grant is not None:
                    self._send(sender, encode_peer_message(grant))
            case QuotaGrant():
                self._note_coordinator(message.epoch, sender)
                self._client.accept(message)
                self._pump()
            case _:
                return False
        return True

    def read_totals(self) -> dict[str, dict[str, float]]:
        """Return the sums by workspace, of those with the largest use."""
        accounts = sorted(
            self._client.accounts.items(),
            key=lambda item: -item[1].totals.spent,
        )
        outstanding = self._coordination.outstanding
        return {
            name: {
                'granted': account.totals.granted,
                'spent': account.totals.spent,
                'returned': account.totals.returned,
                'refused': self._refused[name],
                'balance': account.balance,
                'outstanding': outstanding.get(name, 0),
            }
            for name, account in accounts[:_MAX_SHOWN]
        }

    def close(self) -> None:
        """Stop the timer of repeated requests."""
        if self._pump_handle is not None:
            self._pump_handle.cancel()

    def _knows_gateways(self) -> bool:
        """Whether this gateway could grant soon after its election."""
        now = platform.boot_clock()
        return not self._quotas or self._contact.knows_gateways(now)

    def _is_charged(self, job: Job) -> bool:
        return job.charge is not None and job.charge.is_valid

    async def _wait(self, name: str, cost: int, job: Job) -> Charge | None:
        """Wait for a balance; ``None`` if there was none in time."""
        event = asyncio.Event()
        waiter = self._client.wait(name, cost, event.set)
        self._pump_soon()
        share_s = job.route.objective_s * _OBJECTIVE_SHARE
        timeout_s = min(_MAX_WAIT_S, max(_MIN_WAIT_S, share_s))
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except TimeoutError:
            return self._client.end_wait(name, waiter)
        except asyncio.CancelledError:
            # The caller of this request releases what it has got meanwhile.
            job.charge = self._client.end_wait(name, waiter)
            raise
        return self._client.end_wait(name, waiter)

    def _explain(self, name: str, cost: int) -> Refusal:
        """Return the refusal of a request that found no balance."""
        account = self._client.find_account(name)
        wait_s = account.plan_return_s(cost, platform.boot_clock())
        if wait_s is None:
            return refuse(
                ErrorKind.QUOTA_UNAVAILABLE, retry_after=_RETRY_AFTER_S
            )
        return refuse(
            ErrorKind.CALLER_LIMIT,
            retry_after=max(_MIN_RETRY_AFTER_S, wait_s),
        )

    def _refusal(
        self, job: Job, cost: int, refusal: Refusal
    ) -> RequestRefusedError:
        """Log a refusal, and return the error that answers with it."""
        name = job.workspace.name if job.workspace else ''
        self._refused[name] += 1
        account = self._client.find_account(name)
        age_s = platform.boot_clock() - account.granted_at
        _log.warning(
            'quota_refused',
            request=job.facts.request_id,
            workspace=name,
            kind=refusal.kind,
            cost=cost,
            balance=account.balance,
            grant_age_s=round(age_s, 3) if age_s < float('inf') else None,
            retry_after_s=refusal.retry_after,
            epoch=self._client.epoch,
        )
        return RequestRefusedError(refusal)

    def _pump_soon(self) -> None:
        """Send what is due in a moment, with what else will be due then."""
        self._schedule_pump(_COALESCE_S)

    def _schedule_pump(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay_s
        handle = self._pump_handle
        if handle is not None and not handle.cancelled():
            if handle.when() <= due_at:
                return
            handle.cancel()
        self._pump_handle = loop.call_at(due_at, self._run_pump)

    def _run_pump(self) -> None:
        self._pump_handle = None
        self._pump()

    def _pump(self) -> None:
        """Send the request that is due, if the coordinator is known."""
        directory = self._directory
        planner = directory.newest_planner
        self._client.note_epoch(planner.revision)
        address = self._find_address(planner.host)
        if not address or not self._contact.may_ask(
            platform.boot_clock(),
            planner.revision,
            directory.planner.revision,
            directory.freshness.revision,
        ):
            return
        request = self._client.next_request()
        if request is not None:
            self._deliver(request, planner.host, address)
        due_s = self._client.next_due_s()
        if due_s < float('inf'):
            self._schedule_pump(max(_COALESCE_S, due_s))

    def _deliver(self, request: QuotaRequest, host: str, address: str) -> None:
        """Send a request; to the coordinator in this process directly."""
        if host != self._host:
            self._send(address, encode_peer_message(request))
            return
        grant = self._coordination.answer(request, address)
        if grant is not None:
            self._client.accept(grant)
            self._pump_soon()

    def _find_address(self, host: str) -> str:
        """Return the address of a host's gateway, empty if it isn't listed."""
        for peer in self._directory.peers.values():
            if peer.host == host:
                return peer.address
        return ''

    def _announce(self, grant: QuotaGrant, address: str) -> None:
        self._send(address, encode_peer_message(grant))

    def _note_coordinator(self, epoch: int, sender: str) -> None:
        """Learn of a new planner from its own message."""
        if epoch <= self._directory.newest_planner.revision:
            return
        for peer in self._directory.peers.values():
            if peer.address == sender:
                planner = ObservedPlanner(epoch, peer.host)
                self._directory.note_peer_planner(planner)

    def _apply_configuration(self) -> None:
        """Apply the quotas of a changed configuration."""
        configuration = self._directory.configuration
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        directory = configuration.workspaces
        workspaces = directory.by_name if directory else {}
        self._quotas = {
            name: workspace.quota
            for name, workspace in workspaces.items()
            if workspace.quota is not None
        }
        self._client.set_quotas(self._quotas, configuration.version)
        self._coordination.set_quotas(self._quotas, configuration.version)

    def _log_totals(self, now: float) -> None:
        """Log the sums that have changed, once a second."""
        if now - self._logged_at < _TOTALS_S:
            return
        totals = self.read_totals()
        if totals != self._logged_totals:
            self._logged_at = now
            self._logged_totals = totals
            _log.info('quota_totals', workspaces=totals)


def _no_revision() -> None:
    """Return that this gateway is not listed."""
