"""Client of the platform's store: listings, watches, leases and writes."""

import base64
from collections.abc import Mapping, Sequence
from typing import Final

import attrs
from expression import Error, Ok, Result

from bramleybeam.keyvalue import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseHeld,
    Listing,
    Unavailable,
)
from bramleybeam.platform._store_calls import (
    OK_STATUS,
    CallObserver,
    StoreAnswer,
    StoreCalls,
)
from bramleybeam.platform._store_replies import (
    REPLY_ERRORS,
    REVISIONS_PER_ERA,
    decode_changes,
    decode_page,
    note_unreadable,
    revision_in_era,
)
from bramleybeam.timers import boot_clock

# Largest number of pages read for one listing.
_MAX_PAGES: Final = 40
# Largest number of keys that one call may change.
_MAX_CHANGES: Final = 32


@attrs.define
class _HeldLease:
    """The store's id of a lease and the revision of the key under it."""

    lease_id: int
    epoch: int


class PlatformStore:
    """Lists and watches keys, and acquires and renews leases by name."""

    def __init__(
        self,
        address: str,
        key_prefix: str = 'bramleybeam/',
        on_call: CallObserver | None = None,
    ) -> None:
        """Store the address ``IP:PORT`` and the prefix of the keys of leases.

        ``on_call`` is called after each call to the store.
        """
        self._calls = StoreCalls(address, on_call)
        self._key_prefix = key_prefix
        self._held_leases: dict[str, _HeldLease] = {}

    async def list_items(self, prefix: str) -> Result[Listing, Unavailable]:
        """Return all items of a prefix, read page by page.

        The revision of the listing is that of the first page, so that a
        watch that starts from it includes changes made between two pages.
        """
        items: list[Item] = []
        revision = 0
        after = ''
        for _ in range(_MAX_PAGES):
            reply = await self._calls.get(
                '/api/kv-range', {'prefix': prefix, 'after': after}
            )
            if not isinstance(reply, StoreAnswer) or reply.status != OK_STATUS:
                return Error(Unavailable(str(reply)))
            try:
                page = decode_page(reply)
            except REPLY_ERRORS as error:
                return Error(note_unreadable('listing', error))
            revision = revision or page.revision
            if _era_of(page.revision) != _era_of(revision):
                return Error(Unavailable('the store came back from a copy'))
            items.extend(page.items)
            if not page.items or not page.is_truncated:
                break
            after = page.items[-1].key
        return Ok(Listing(tuple(items), revision))

    async def follow(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Changes, HistoryLost | Unavailable]:
        """Wait up to ``wait`` seconds for changes after revision ``after``.

        Returns the changes, which are empty on timeout. The history before the
        store came back from a copy is lost.
        """
        era, stated = divmod(after, REVISIONS_PER_ERA)
        if era != self._calls.era:
            return Error(HistoryLost())
        query = {
            'prefix': prefix,
            'after': stated,
            'wait-ms': round(wait * 1000),
        }
        reply = await self._calls.get('/api/kv-watch', query, extra_wait_s=wait)
        match reply:
            case StoreAnswer(status=200) if reply.era != era:
                return Error(HistoryLost())
            case StoreAnswer(status=200):
                try:
                    return Ok(decode_changes(reply))
                except REPLY_ERRORS as error:
                    return Error(note_unreadable('changes', error))
            case StoreAnswer(status=410):
                return Error(HistoryLost())
        return Error(Unavailable(str(reply)))

    async def lease(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Acquire or renew a lease for ``ttl`` seconds and return it.

        Its epoch is the revision of the key that was written under it.
        """
        sent_at = boot_clock()
        held = self._held_leases.get(name)
        if held is not None and _era_of(held.epoch) != self._calls.era:
            # The store has lost the lease, and may have given its id to another.
            return self._note_lost(name)
        if held is not None:
            renewal = await self._calls.post(
                f'/api/kv-keep/{held.lease_id}', None
            )
            match renewal:
                case StoreAnswer(status=200, era=era):
                    if era != _era_of(held.epoch):
                        return self._note_lost(name)
                    return Ok(Lease(name, holder, held.epoch, sent_at + ttl))
                case StoreAnswer(status=404):
                    return self._note_lost(name)
            return Error(Unavailable(str(renewal)))
        return await self._acquire(name, holder, ttl)

    async def write(
        self, writes: Mapping[str, bytes], deletes: Sequence[str]
    ) -> bool:
        """Write and delete keys together; returns whether that was confirmed.

        Without a confirmation the change may still take effect. At most
        ``_MAX_CHANGES`` are made in one call.
        """
        rows = [
            {'key': key, 'value': base64.b64encode(content).decode()}
            for key, content in writes.items()
        ]
        deletes = deletes[:_MAX_CHANGES]
        body = {
            'expected': [],
            'writes': rows[: _MAX_CHANGES - len(deletes)],
            'deletes': list(deletes),
        }
        answer = await self._calls.post('/api/kv-txn', body)
        return isinstance(answer, StoreAnswer) and answer.status == OK_STATUS

    async def release(self, name: str, holder: str) -> None:
        """Release a lease if this client holds it."""
        held = self._held_leases.pop(name, None)
        if held is not None:
            await self._calls.call(
                'DELETE', f'/api/kv-lease-end/{held.lease_id}'
            )

    def forget(self, name: str) -> None:
        """Forget a lease whose key was removed; the store is not called."""
        self._held_leases.pop(name, None)

    def _note_lost(self, name: str) -> Result[Lease, LeaseHeld | Unavailable]:
        """Forget a lease that has ended."""
        self._held_leases.pop(name, None)
        return Error(LeaseHeld('', 0))

    async def _acquire(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Create a lease in the store, and its key unless that exists."""
        sent_at = boot_clock()
        granted = await self._calls.post(
            '/api/kv-lease', {'ttl-ms': round(ttl * 1000)}
        )
        if not isinstance(granted, StoreAnswer) or granted.status != OK_STATUS:
            return Error(Unavailable(str(granted)))
        lease_id = int(granted.content['lease'])
        key = f'{self._key_prefix}{name}'
        row = {
            'key': key,
            'value': base64.b64encode(holder.encode()).decode(),
            'lease': lease_id,
        }
        written = await self._calls.post(
            '/api/kv-txn',
            {
                'expected': [{'key': key, 'revision': 0}],
                'writes': [row],
                'deletes': [],
            },
        )
        match written:
            case StoreAnswer(status=200, content=content, era=era):
                epoch = revision_in_era(content['revision'], era)
                self._held_leases[name] = _HeldLease(lease_id, epoch)
                return Ok(Lease(name, holder, epoch, sent_at + ttl))
            case StoreAnswer(status=412):
                await self._calls.call(
                    'DELETE', f'/api/kv-lease-end/{lease_id}'
                )
                return Error(LeaseHeld('', ttl))
        # A write without a reply may still take effect. Its key is then
        # removed when the lease expires.
        return Error(Unavailable(str(written)))


def _era_of(revision: int) -> int:
    return revision // REVISIONS_PER_ERA
