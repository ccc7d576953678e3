"""Relays of requests: each keeps its answer until the entry has it.

A relay outlives the connection it was asked on. When a connection goes
silent the entry opens another and attaches at its offset, and the stream goes
on. An attempt that an entry asks for and that never came is revoked, so that
"it never ran" stays true.
"""

import time
from collections import Counter, OrderedDict
from typing import Final

import attrs

from bramleybeam.links import Accepted, Chunk, Dispatch, End, Failed, Link

KEPT_FINISHED_S: Final = 30.0
_MAX_REVOKED: Final = 20_000

AttemptId = tuple[str, int]


@attrs.define(eq=False)
class Relay:
    """One attempt of a request and what the upstream answered so far."""

    dispatch: Dispatch
    link: Link | None
    started_at: float
    credit: int
    chunks: list[Chunk] = attrs.field(factory=list)
    sent: int = 0
    ending_sent: bool = False
    ending: End | Failed | None = None
    ended_at: float = 0
    detached_at: float = 0
    upstream_has_it: bool = False

    @property
    def attempt_id(self) -> AttemptId:
        """Request id and attempt."""
        return self.dispatch.request_id, self.dispatch.attempt

    def add(self, chunk: Chunk) -> None:
        """Keep a piece and send what credit allows."""
        self.chunks.append(chunk)
        self.flush()

    def end(self, ending: End | Failed) -> None:
        """Keep the end; it is sent after the last piece."""
        self.ending = ending
        self.ended_at = time.monotonic()
        self.flush()

    def add_credit(self, chunks: int) -> None:
        """Allow more pieces to be sent."""
        self.credit += max(0, chunks)
        self.flush()

    def attach(self, link: Link, offset: int) -> None:
        """Send again from ``offset`` on, on another connection."""
        self.link = link
        self.detached_at = 0
        self.ending_sent = False
        self.sent = sum(chunk.offset < offset for chunk in self.chunks)
        self.credit = self.dispatch.credit
        request_id, attempt = self.attempt_id
        link.send(Accepted(request_id=request_id, attempt=attempt))
        self.flush()

    def flush(self) -> None:
        """Send pieces while there is credit, then the end."""
        if self.link is None:
            return
        while self.sent < len(self.chunks) and self.credit > 0:
            self.link.send(self.chunks[self.sent])
            self.sent += 1
            self.credit -= 1
        all_sent = self.sent == len(self.chunks)
        if self.ending is not None and all_sent and not self.ending_sent:
            self.ending_sent = True
            self.link.send(self.ending)


class RelayBook:
    """All relays of one agent, and the attempts that were revoked."""

    def __init__(self) -> None:
        """Start empty."""
        self._relays: dict[AttemptId, Relay] = {}
        self._revoked: OrderedDict[AttemptId, None] = OrderedDict()

    @property
    def active(self) -> list[Relay]:
        """Relays whose upstream has not ended."""
        return [
            relay for relay in self._relays.values() if relay.ending is None
        ]

    @property
    def unfinished(self) -> list[Relay]:
        """Relays that still owe a connected entry a part of the answer."""
        return [
            relay
            for relay in self._relays.values()
            if relay.ending is None
            or (relay.link is not None and not relay.ending_sent)
        ]

    def count_running(self) -> dict[str, int]:
        """Count active relays by model."""
        return dict(
            Counter(
                relay.dispatch.base_model or relay.dispatch.target
                for relay in self.active
            ),
        )

    def is_in_use(self, name: str) -> bool:
        """Whether an active relay uses a model or adapter."""
        return any(
            name in {relay.dispatch.target, relay.dispatch.base_model}
            for relay in self.active
        )

    def reserved_by(self) -> Relay | None:
        """Return the relay that waits to run, or runs, alone."""
        for relay in self.active:
            if relay.dispatch.alone:
                return relay
        return None

    def find(self, attempt_id: AttemptId) -> Relay | None:
        """Return the relay of an attempt."""
        return self._relays.get(attempt_id)

    def add(self, relay: Relay) -> None:
        """Keep a new relay."""
        self._relays[relay.attempt_id] = relay

    def drop(self, attempt_id: AttemptId) -> None:
        """Forget a relay that was refused."""
        self._relays.pop(attempt_id, None)

    def revoke(self, attempt_id: AttemptId) -> None:
        """Never run an attempt that has not come yet."""
        self._revoked[attempt_id] = None
        if len(self._revoked) > _MAX_REVOKED:
            self._revoked.popitem(last=False)

    def is_revoked(self, attempt_id: AttemptId) -> bool:
        """Whether the attempt may not run any more."""
        return attempt_id in self._revoked

    def detach(self, link: Link) -> None:
        """The connection is gone; its relays wait to be attached."""
        for relay in self._relays.values():
            if relay.link is link:
                relay.link = None
                relay.detached_at = time.monotonic()

    def forget_finished(self) -> None:
        """Drop relays that ended long enough ago."""
        horizon = time.monotonic() - KEPT_FINISHED_S
        self._relays = {
            attempt_id: relay
            for attempt_id, relay in self._relays.items()
            if relay.ending is None or relay.ended_at > horizon
        }
