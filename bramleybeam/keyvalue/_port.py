"""Interface of the platform's key-value service.

It has four operations: get, swap (compare-and-swap), lease and watch. Every
failure is returned as a value of a closed set of types, so that a caller has
to handle each kind.
"""

from typing import Protocol

import attrs
from expression import Result


@attrs.frozen
class Versioned:
    """A value with its version in the service; versions start at 1."""

    text: str
    version: int


@attrs.frozen
class Conflict:
    """The key has another version than expected; nothing was written.

    ``version`` is the key's current version.
    """

    version: int


@attrs.frozen
class Unavailable:
    """The service did not accept the call; nothing was written."""

    reason: str


@attrs.frozen
class Ambiguous:
    """The reply to a write was lost: the write may or may not have happened."""

    reason: str


@attrs.frozen
class LeaseHeld:
    """Another holder has the lease for another ``remaining`` seconds."""

    holder: str
    remaining: float


@attrs.frozen
class Lease:
    """A granted lease; ``epoch`` increases with each new holder.

    ``expires_at`` is a monotonic time in seconds. It is computed from the
    time before the call was sent, so that it is never later than the
    service's own expiry.
    """

    name: str
    holder: str
    epoch: int
    expires_at: float


KeyValueError = Conflict | Unavailable | Ambiguous


class LeaseStore(Protocol):
    """Grants leases; never raises for failures of the service."""

    async def lease(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Acquire or renew a lease for ``ttl`` seconds and return it."""

    async def release(self, name: str, holder: str) -> None:
        """Release a lease if ``holder`` still holds it."""


class KeyValue(LeaseStore, Protocol):
    """The whole interface; never raises for failures of the service."""

    async def get(self, key: str) -> Result[Versioned | None, Unavailable]:
        """Return the value of a key, or ``None`` if it does not exist."""

    async def swap(
        self,
        key: str,
        text: str,
        expected: int,
    ) -> Result[int, KeyValueError]:
        """Write if the version is ``expected`` and return the new version.

        An ``expected`` version of 0 means that the key must not exist.
        """

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Result[Versioned | None, Unavailable]:
        """Wait up to ``wait`` seconds for a version greater than ``after``.

        Returns the new value, or ``None`` on timeout.
        """
