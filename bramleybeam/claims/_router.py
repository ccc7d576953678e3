"""Sends a claim to the entry that commits its partition."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import structlog
import xxhash

from bramleybeam.claims._committer import ClaimCommitter
from bramleybeam.decisions import Verdict, rank_by_hash
from bramleybeam.keyvalue import KeyValue
from bramleybeam.links import Link, LinkLost, Reply
from bramleybeam.messages import (
    ClaimCall,
    ClaimReply,
    MessageError,
    decode,
    encode,
)

PARTITIONS: Final = 16
CLAIM_TIMEOUT_S: Final = 3.0
_log = structlog.get_logger('claims')

Caller = Callable[[str, bytes], Awaitable[Reply]]


class ClaimRouter:
    """Finds a partition's committer by rendezvous hash over live entries.

    The choice only saves writes: two entries that both take themselves for
    the committer are kept apart by compare-and-swap. So when the committer
    does not answer, the entry commits by itself, with the same nonce.
    """

    def __init__(
        self,
        store: KeyValue,
        process: str,
        entries: Callable[[], list[str]],
        call: Caller,
    ) -> None:
        """Store who is here, who is live and how to call the others."""
        self.forwarded = 0
        self._store = store
        self._process = process
        self._entries = entries
        self._call = call
        self._committers: dict[int, ClaimCommitter] = {}

    @property
    def writes(self) -> int:
        """Writes that this entry made for claims."""
        return sum(one.writes for one in self._committers.values())

    @property
    def committed(self) -> int:
        """Records that this entry made durable."""
        return sum(one.committed for one in self._committers.values())

    async def submit(self, call: ClaimCall) -> ClaimReply:
        """Have a call judged; ``unavailable`` means nothing was granted."""
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self._submit(call)
        except TimeoutError:
            return ClaimReply(Verdict.UNAVAILABLE)

    async def commit(self, call: ClaimCall) -> ClaimReply:
        """Judge a call here, for another entry or for this one."""
        partition = partition_of(call.key)
        committer = self._committers.get(partition)
        if committer is None:
            committer = ClaimCommitter(self._store, partition)
            self._committers[partition] = committer
        return await committer.submit(call)

    async def answer(self, link: Link, call_id: int, body: bytes) -> None:
        """Answer the call of another entry."""
        try:
            reply = await self.commit(decode(body, ClaimCall))
        except MessageError as error:
            link.send(Reply(call_id, ok=False, body=str(error).encode()))
            return
        link.send(Reply(call_id, ok=True, body=encode(reply)))

    async def close(self) -> None:
        """Stop all committers."""
        for committer in self._committers.values():
            await committer.close()

    async def _submit(self, call: ClaimCall) -> ClaimReply:
        owner = self._find_owner(partition_of(call.key))
        if owner != self._process:
            self.forwarded += 1
            try:
                reply = await self._call(owner, encode(call))
                return decode(reply.body, ClaimReply)
            except (LinkLost, TimeoutError, MessageError) as error:
                _log.info('committer_silent', owner=owner, error=repr(error))
        return await self.commit(call)

    def _find_owner(self, partition: int) -> str:
        names = {*self._entries(), self._process}
        return rank_by_hash(f'claims/{partition}', names)[0]


def partition_of(key: str) -> int:
    """Return the partition of a key."""
    return int(xxhash.xxh32(key.encode()).intdigest() % PARTITIONS)
