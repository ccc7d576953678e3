"""Relays of requests: each keeps its response until the entry has it.

A relay outlives the link on which its request arrived. When a link stops
responding, the entry opens another one and attaches at the offset that it has
received, and the stream continues. When an entry asks to attach to an attempt
that never arrived, the attempt is revoked: it is refused if it arrives later,
so the reply that it never ran remains true.
"""

import time
from collections import Counter, OrderedDict
from typing import Final

import attrs

from bramleybeam.links import Accepted, Chunk, Dispatch, End, Failed, Link

# Time for which a finished relay can still be attached to.
FINISHED_RETENTION_S: Final = 30.0
# Revoked attempts that are remembered.
_MAX_REVOKED: Final = 20_000

AttemptId = tuple[str, int]


@attrs.define(eq=False)
class Relay:
    """One attempt of a request and the response received so far.

    ``credit`` is the number of chunks that may still be sent, ``sent_chunks``
    the number of chunks that the entry has or that were sent on its link.
    ``detached_at`` is 0 unless the link was lost.
    """

    dispatch: Dispatch
    link: Link | None
    started_at: float
    credit: int
    chunks: list[Chunk] = attrs.field(factory=list)
    sent_chunks: int = 0
    end_frame_sent: bool = False
    end_frame: End | Failed | None = None
    ended_at: float = 0
    detached_at: float = 0
    sent_to_upstream: bool = False

    @property
    def attempt_id(self) -> AttemptId:
        """Request id and number of the attempt."""
        return self.dispatch.request_id, self.dispatch.attempt

    def add(self, chunk: Chunk) -> None:
        """Store a chunk and send what the credit allows."""
        self.chunks.append(chunk)
        self.flush()

    def end(self, end_frame: End | Failed) -> None:
        """Store the last frame; it is sent after the last chunk."""
        self.end_frame = end_frame
        self.ended_at = time.monotonic()
        self.flush()

    def add_credit(self, chunks: int) -> None:
        """Allow ``chunks`` more chunks to be sent."""
        self.credit += max(0, chunks)
        self.flush()

    def attach(self, link: Link, offset: int) -> None:
        """Continue on another link, from the chunk at ``offset`` tokens."""
        self.link = link
        self.detached_at = 0
        self.end_frame_sent = False
        self.sent_chunks = sum(chunk.offset < offset for chunk in self.chunks)
        self.credit = self.dispatch.credit
        request_id, attempt = self.attempt_id
        link.send(Accepted(request_id=request_id, attempt=attempt))
        self.flush()

    def flush(self) -> None:
        """Send chunks while there is credit, then the last frame."""
        if self.link is None:
            return
        while self.sent_chunks < len(self.chunks) and self.credit > 0:
            self.link.send(self.chunks[self.sent_chunks])
            self.sent_chunks += 1
            self.credit -= 1
        all_chunks_sent = self.sent_chunks == len(self.chunks)
        if (
            self.end_frame is not None
            and all_chunks_sent
            and not self.end_frame_sent
        ):
            self.end_frame_sent = True
            self.link.send(self.end_frame)


class RelayRegistry:
    """All relays of one agent and the attempts that were revoked."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._relays: dict[AttemptId, Relay] = {}
        self._revoked: OrderedDict[AttemptId, None] = OrderedDict()

    @property
    def active(self) -> list[Relay]:
        """Relays whose response from the upstream has not ended."""
        return [
            relay for relay in self._relays.values() if relay.end_frame is None
        ]

    @property
    def unfinished(self) -> list[Relay]:
        """Relays that are active or have frames to send to a linked entry."""
        return [
            relay
            for relay in self._relays.values()
            if relay.end_frame is None
            or (relay.link is not None and not relay.end_frame_sent)
        ]

    def count_running(self) -> dict[str, int]:
        """Return the number of active relays by model."""
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

    def find_exclusive(self) -> Relay | None:
        """Return the active relay that has to run alone, if there is one."""
        for relay in self.active:
            if relay.dispatch.alone:
                return relay
        return None

    def find(self, attempt_id: AttemptId) -> Relay | None:
        """Return the relay of an attempt, or ``None``."""
        return self._relays.get(attempt_id)

    def add(self, relay: Relay) -> None:
        """Register a new relay."""
        self._relays[relay.attempt_id] = relay

    def discard(self, attempt_id: AttemptId) -> None:
        """Remove the relay of an attempt that was refused."""
        self._relays.pop(attempt_id, None)

    def revoke(self, attempt_id: AttemptId) -> None:
        """Refuse an attempt if it arrives later.

        The oldest entries are dropped beyond ``_MAX_REVOKED``.
        """
        self._revoked[attempt_id] = None
        if len(self._revoked) > _MAX_REVOKED:
            self._revoked.popitem(last=False)

    def is_revoked(self, attempt_id: AttemptId) -> bool:
        """Whether an attempt was revoked and may not run."""
        return attempt_id in self._revoked

    def detach(self, link: Link) -> None:
        """Detach the relays of a lost link; an entry may attach them again."""
        for relay in self._relays.values():
            if relay.link is link:
                relay.link = None
                relay.detached_at = time.monotonic()

    def remove_finished(self) -> None:
        """Remove relays that ended over ``FINISHED_RETENTION_S`` ago."""
        ended_before = time.monotonic() - FINISHED_RETENTION_S
        self._relays = {
            attempt_id: relay
            for attempt_id, relay in self._relays.items()
            if relay.end_frame is None or relay.ended_at > ended_before
        }
