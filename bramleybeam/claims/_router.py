"""Routes a claim to the entry that commits its partition."""

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

# Number of partitions; all entries must use the same one.
PARTITIONS: Final = 16
# Time to wait for the reply to a claim call, from this or another entry.
CLAIM_TIMEOUT_S: Final = 3.0
_log = structlog.get_logger('claims')

Caller = Callable[[str, bytes], Awaitable[Reply]]


class ClaimRouter:
    """Selects a partition's committer by rendezvous hash over entries.

    The selection only reduces the number of writes. If two entries both act
    as the committer, compare-and-swap keeps their writes consistent. When the
    committer does not reply, the entry therefore commits the claim itself,
    with the same nonce.
    """

    def __init__(
        self,
        store: KeyValue,
        process: str,
        list_entries: Callable[[], list[str]],
        call: Caller,
    ) -> None:
        """Store the process name and how to list and call other entries."""
        self.forwarded = 0
        self._store = store
        self._process = process
        self._list_entries = list_entries
        self._call = call
        self._committers: dict[int, ClaimCommitter] = {}

    @property
    def writes(self) -> int:
        """Number of writes that this entry made for claims."""
        return sum(
            partition_committer.writes
            for partition_committer in self._committers.values()
        )

    @property
    def committed(self) -> int:
        """Number of records that this entry made durable."""
        return sum(
            partition_committer.committed
            for partition_committer in self._committers.values()
        )

    async def submit(self, call: ClaimCall) -> ClaimReply:
        """Return the reply to a call from the committer of its partition.

        The verdict ``unavailable`` means that the key was not granted, for
        instance because no reply arrived within ``CLAIM_TIMEOUT_S``.
        """
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self._submit(call)
        except TimeoutError:
            return ClaimReply(Verdict.UNAVAILABLE)

    async def commit(self, call: ClaimCall) -> ClaimReply:
        """Commit a call in this process, for this or for another entry."""
        partition = partition_of(call.key)
        committer = self._committers.get(partition)
        if committer is None:
            committer = ClaimCommitter(self._store, partition)
            self._committers[partition] = committer
        return await committer.submit(call)

    async def answer(self, link: Link, call_id: int, body: bytes) -> None:
        """Reply to a call from another entry."""
        try:
            reply = await self.commit(decode(body, ClaimCall))
        except MessageError as error:
            link.send(Reply(call_id, ok=False, body=str(error).encode()))
            return
        link.send(Reply(call_id, ok=True, body=encode(reply)))

    async def close(self) -> None:
        """Stop the committers of all partitions."""
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
                _log.info(
                    'committer_unreachable', owner=owner, error=repr(error)
                )
        return await self.commit(call)

    def _find_owner(self, partition: int) -> str:
        candidates = {*self._list_entries(), self._process}
        return rank_by_hash(f'claims/{partition}', candidates)[0]


def partition_of(key: str) -> int:
    """Return the number of the partition that holds a key."""
    return int(xxhash.xxh32(key.encode()).intdigest() % PARTITIONS)
