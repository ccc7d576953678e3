"""What the system asks of the platform's key-value service.

Four verbs: get, swap (compare-and-swap), lease and watch. Every failure is a
value of a closed set, so that a caller has to say what it does with each.
"""

from typing import Protocol

import attrs
from expression import Result


@attrs.frozen
class Versioned:
    """A value with the version that the service gave it; versions start at 1."""

    text: str
    version: int


@attrs.frozen
class Conflict:
    """The key has another version than expected; nothing was written."""

    version: int


@attrs.frozen
class Unavailable:
    """The service did not take the call; nothing was written."""

    reason: str


@attrs.frozen
class Ambiguous:
    """The reply to a write was lost: it may or may not have taken effect."""

    reason: str


@attrs.frozen
class LeaseHeld:
    """Another holder has the lease for ``remaining`` seconds more."""

    holder: str
    remaining: float


@attrs.frozen
class Lease:
    """A lease that was granted; ``epoch`` grows with each new holder.

    ``expires`` is a monotonic time in seconds, counted from before the call
    was sent, so that it never lies after the service's own expiry.
    """

    name: str
    holder: str
    epoch: int
    expires: float


KeyValueError = Conflict | Unavailable | Ambiguous


class LeaseStore(Protocol):
    """What grants leases; never raises for what the service does."""

    async def lease(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Take or renew a lease for ``ttl`` seconds."""

    async def release(self, name: str, holder: str) -> None:
        """Give a lease up, if it is still held."""


class KeyValue(LeaseStore, Protocol):
    """The port; implementations never raise for what the service does."""

    async def get(self, key: str) -> Result[Versioned | None, Unavailable]:
        """Read a key; ``None`` when it does not exist."""

    async def swap(
        self,
        key: str,
        text: str,
        expected: int,
    ) -> Result[int, KeyValueError]:
        """Write when the version is ``expected``; 0 means must not exist."""

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Result[Versioned | None, Unavailable]:
        """Wait until the version passes ``after``; ``None`` on time out."""
