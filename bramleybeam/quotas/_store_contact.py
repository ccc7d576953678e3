"""How well a gateway knows, and is known in, the store."""

import math
from typing import Final

# A process that has followed the store for this many seconds without a longer
# gap than the second number knows all gateways that may hold balances: each is
# listed for 10 s after its last registration, and kept for 15 s more.
_FOLLOWED_S: Final = 15.0
_LONGEST_GAP_S: Final = 5.0
# A gateway asks for quotas up to this many seconds after it was seen to be listed.
# With the 9 s of that and a lease, it holds nothing by the time that others have
# forgotten it.
_LISTED_S: Final = 8.0


class StoreContact:
    """Decides whether the list of gateways is complete in both directions.

    Times are in seconds of a clock that advances while the host is suspended.
    """

    def __init__(self) -> None:
        """Create the state of a process that has not read the store."""
        self._followed_since = math.inf
        self._checked_at = -math.inf
        self._listed_at = -math.inf
        self._listed_revision = 0

    def note_age(self, now: float, age_s: float | None) -> None:
        """Record the age of what was read of the store, ``None`` for never.

        This has to be called at least every few seconds.
        """
        gap_s = max(now - self._checked_at, age_s or 0)
        self._checked_at = now
        if age_s is None or gap_s > _LONGEST_GAP_S:
            self._followed_since = math.inf
        elif self._followed_since == math.inf:
            self._followed_since = now

    def note_listed(self, now: float, revision: int) -> None:
        """Record that this gateway's entry, of a revision, is in the store."""
        self._listed_at = now
        self._listed_revision = revision

    def knows_gateways(self, now: float) -> bool:
        """Whether no gateway may hold a balance that is not known here."""
        is_followed = now - self._followed_since >= _FOLLOWED_S
        return is_followed and now - self._checked_at <= _LONGEST_GAP_S

    def may_ask(
        self, now: float, newest_epoch: int, stored_epoch: int, revision: int
    ) -> bool:
        """Whether requests may be sent to the coordinator of an epoch.

        ``newest_epoch`` is that epoch, ``stored_epoch`` the one that was read of
        the store, up to ``revision``. A coordinator that does not know this
        gateway must be newer than all that this gateway asks, or the quota
        could be granted twice.
        """
        is_listed = now - self._listed_at <= _LISTED_S
        if not is_listed or revision < self._listed_revision:
            return False
        if self.knows_gateways(now):
            return True
        return newest_epoch in {
            stored_epoch,
            max(newest_epoch, self._listed_revision),
        }
