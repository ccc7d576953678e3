"""The coordinator of quotas: the only gateway that grants parts of them."""

import math
from collections.abc import Collection, Mapping
from typing import Final

import attrs

from bramleybeam.catalog import Quota, QuotaBounds
from bramleybeam.quotas._bucket import WorkspaceBucket
from bramleybeam.quotas._limits import AUTHORITY_S, LEASE_S, QuotaLimits
from bramleybeam.quotas._messages import GrantRow, QuotaGrant, QuotaRequest

# Bytes a second that a coordinator sends, and the size of an answer.
_BYTES_PER_S: Final = 20_000
_ANSWER_BYTES: Final = 160
# Bounds of the time after which gateways may ask for reserves again; balances
# have to be renewed before their lease ends.
_MIN_INTERVAL_S: Final = 0.15
_MAX_INTERVAL_S: Final = 2.2
# Time after which a silent process is forgotten. A datagram that arrives even
# later counts as the first one of its process, which only overstates what it has.
_FORGET_S: Final = 60.0


@attrs.frozen
class CoordinatorView:
    """What a coordinator's gateway knows of its lease and of other gateways.

    ``newest_epoch`` is the newest epoch that it has heard of, ``renewed_at``
    when the last successful renewal of its lease was sent, ``revision`` up to
    which it has read the store, and ``listed`` the addresses of gateways.
    """

    newest_epoch: int
    renewed_at: float
    revision: int
    listed: Collection[str]


@attrs.define
class _Contact:
    """The last request of a gateway's process."""

    sequence: int
    received_at: float


class QuotaCoordinator:
    """Grants parts of quotas in one epoch of the planner's lease.

    Times are in seconds of a clock that advances while the host is suspended.
    ``knows_gateways`` is whether the process has followed the store for long
    enough to know all gateways that may hold balances.
    """

    def __init__(
        self,
        epoch: int,
        elected_at: float,
        bounds: QuotaBounds,
        *,
        knows_gateways: bool,
    ) -> None:
        """Start with empty buckets; nothing is granted yet."""
        self.epoch = epoch
        self.elected_at = elected_at
        self.is_granting = False
        self.heard: set[str] = set()
        self._bounds = bounds
        self._knows_gateways = knows_gateways
        self._buckets: dict[str, WorkspaceBucket] = {}
        self._contacts: dict[int, _Contact] = {}
        self._version = 0
        self._pruned_at = elected_at
        self._has_quotas = False
        self._limits: dict[str, QuotaLimits] = {}
        self._ready_at: dict[str, float] = {}
        self._added_at: dict[str, float] = {}
        self._granting_since = math.inf
        self._idle_s = 0.0

    @property
    def outstanding(self) -> dict[str, float]:
        """What gateways hold at most, by workspace."""
        return {
            name: bucket.outstanding for name, bucket in self._buckets.items()
        }

    def set_quotas(
        self, quotas: Mapping[str, Quota], version: int, now: float
    ) -> None:
        """Apply the quotas of a version of the configuration, by workspace."""
        self._version = version
        limits_by_name = {
            name: QuotaLimits.of(quota, self._bounds)
            for name, quota in quotas.items()
        }
        for removed in self._limits.keys() - limits_by_name.keys():
            self._buckets.pop(removed, None)
            self._ready_at[removed] = now + LEASE_S
        if self._has_quotas:
            self._note_added(limits_by_name.keys() - self._limits.keys(), now)
        self._has_quotas = True
        self._limits = limits_by_name
        for name, bucket in self._buckets.items():
            if bucket.limits != limits_by_name[name]:
                bucket.change(limits_by_name[name], now)

    def has_authority(self, view: CoordinatorView, now: float) -> bool:
        """Whether requests of gateways may be answered."""
        is_newest = view.newest_epoch <= self.epoch
        return is_newest and now - view.renewed_at < AUTHORITY_S

    def list_unheard(self, view: CoordinatorView) -> list[str]:
        """Return the addresses of gateways that have not reported yet."""
        return sorted(set(view.listed) - self.heard)

    def start_if_due(self, view: CoordinatorView, now: float) -> bool:
        """Begin to grant if possible; return whether this call did.

        All that gateways hold has to be known, or to have expired: the previous
        coordinator answers for ``AUTHORITY_S`` at most after this one was
        elected, and what it granted then lasts for ``LEASE_S``.
        """
        if self.is_granting or not self.has_authority(view, now):
            return False
        has_expired = now - self.elected_at >= AUTHORITY_S + LEASE_S
        knows_all = (
            self._knows_gateways
            and view.revision >= self.epoch
            and not self.list_unheard(view)
        )
        if not has_expired and not knows_all:
            return False
        self.is_granting = True
        self._granting_since = now
        self._idle_s = LEASE_S if has_expired else 0
        for name, bucket in self._buckets.items():
            self._start(name, bucket)
        return True

    def announce(self) -> QuotaGrant:
        """Return the message that tells a gateway of this coordinator."""
        return QuotaGrant(self.epoch, is_granting=self.is_granting)

    def answer(
        self,
        request: QuotaRequest,
        sender: str,
        view: CoordinatorView,
        now: float,
    ) -> QuotaGrant | None:
        """Return the answer to a request, ``None`` if there is none.

        ``sender`` is the address of the gateway.
        """
        if not self.has_authority(view, now) or request.epoch > self.epoch:
            return None
        if request.epoch < self.epoch:
            return self.announce()
        contact = self._contacts.get(request.incarnation)
        if contact is not None and request.sequence <= contact.sequence:
            return None
        self._note_contact(request, now)
        if request.is_complete:
            self.heard.add(sender)
        self._note_rows(request, now)
        self.start_if_due(view, now)
        return QuotaGrant(
            self.epoch,
            request.incarnation,
            request.sequence,
            self._version,
            self._interval_s(now),
            self.is_granting,
            self._make_rows(request, now),
        )

    def _note_contact(self, request: QuotaRequest, now: float) -> None:
        """Record a request, and forget processes that are silent for long."""
        self._contacts[request.incarnation] = _Contact(request.sequence, now)
        if now - self._pruned_at < _FORGET_S:
            return
        self._pruned_at = now
        for incarnation, contact in tuple(self._contacts.items()):
            if now - contact.received_at > _FORGET_S:
                self._contacts.pop(incarnation)

    def _note_added(self, names: Collection[str], now: float) -> None:
        """Record from when on quotas that were added may be granted.

        Gateways may hold balances of them that were not recorded here: those
        that another coordinator granted, and those from before a removal.
        """
        expired_at = self.elected_at + AUTHORITY_S + LEASE_S
        for name in names:
            ready_at = max(expired_at, self._ready_at.get(name, -math.inf))
            self._ready_at[name] = ready_at
            self._added_at[name] = now

    def _find_bucket(self, name: str, now: float) -> WorkspaceBucket | None:
        """Return the bucket of a workspace, ``None`` if it has no quota."""
        bucket = self._buckets.get(name)
        if bucket is None and name in self._limits:
            bucket = WorkspaceBucket(self._limits[name], now)
            self._buckets[name] = bucket
            if self.is_granting:
                self._start(name, bucket)
        return bucket

    def _start(self, name: str, bucket: WorkspaceBucket) -> None:
        """Let a bucket fill from the time on at which it may be granted."""
        ready_at = self._ready_at.get(name, -math.inf)
        added_at = self._added_at.get(name, -math.inf)
        if ready_at > max(added_at, self._granting_since):
            bucket.start(ready_at, 0)
        elif added_at > self._granting_since:
            bucket.start(added_at, math.inf)
        else:
            bucket.start(self._granting_since, self._idle_s)

    def _note_rows(self, request: QuotaRequest, now: float) -> None:
        for name, row in request.rows.items():
            bucket = self._find_bucket(name, now)
            if bucket is not None:
                bucket.note(request.incarnation, row, now)

    def _make_rows(
        self, request: QuotaRequest, now: float
    ) -> dict[str, GrantRow]:
        """Return the grants; a row renews the lease of what is held.

        There are none while the previous coordinator may still answer others,
        because it would forget balances that are renewed here.
        """
        rows: dict[str, GrantRow] = {}
        is_alone = now - self.elected_at >= AUTHORITY_S
        if not self.is_granting and not is_alone:
            return rows
        for name in request.rows:
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            rows[name] = GrantRow(0)
            if self.is_granting and now >= bucket.starts_at:
                rows[name] = bucket.grant(
                    request.incarnation, now, request.sequence
                )
        return rows

    def _interval_s(self, now: float) -> float:
        """Return the time between two requests of a gateway for reserves."""
        recent = [
            contact
            for contact in self._contacts.values()
            if now - contact.received_at < 2 * LEASE_S
        ]
        interval_s = len(recent) * _ANSWER_BYTES / _BYTES_PER_S
        return min(_MAX_INTERVAL_S, max(_MIN_INTERVAL_S, interval_s))
