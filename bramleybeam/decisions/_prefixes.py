"""Estimates which prompt prefixes are in which upstream's cache."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import xxhash

# Length of a block in bytes of the prompt.
_BLOCK_BYTES: Final = 96
# Blocks of a prompt that are hashed, from its beginning.
_MAX_BLOCKS: Final = 16
# Entries, each for one block on one upstream.
_MAX_ENTRIES: Final = 20_000
# Time in which the estimated probability that a block is cached halves.
_HALF_LIFE_S: Final = 60.0


class PrefixHistory:
    """Records which upstream this process sent which prompt prefixes to.

    The cache events of the engines arrive late and incompletely, and would
    have to be sent to every process that routes requests. A process knows its
    own routing immediately and at no cost. It knows only its own requests, so
    the result is an estimate, whose weight decays with time.
    """

    def __init__(self) -> None:
        """Start without entries."""
        self._sent_at: OrderedDict[tuple[str, int], float] = OrderedDict()

    def note(self, upstream: str, blocks: Sequence[int], now: float) -> None:
        """Record that a prompt of these blocks was sent to an upstream."""
        for block in blocks:
            self._sent_at[upstream, block] = now
            self._sent_at.move_to_end((upstream, block))
        while len(self._sent_at) > _MAX_ENTRIES:
            self._sent_at.popitem(last=False)

    def share(self, upstream: str, blocks: Sequence[int], now: float) -> float:
        """Return the estimated share of the blocks in the cache, 0 to 1."""
        cached = 0.0
        for block in blocks:
            sent_at = self._sent_at.get((upstream, block))
            if sent_at is None:
                break
            cached += 0.5 ** ((now - sent_at) / _HALF_LIFE_S)
        return cached / len(blocks) if blocks else 0

    def count_leading(self, upstream: str, blocks: Sequence[int]) -> int:
        """Return the number of leading blocks recorded for an upstream."""
        for index, block in enumerate(blocks):
            if (upstream, block) not in self._sent_at:
                return index
        return len(blocks)


def hash_blocks(target: str, prompt: bytes) -> list[int]:
    """Return a hash for each whole block at the beginning of a prompt.

    Each hash covers ``target`` and the prompt up to the end of the block.
    """
    hashes = []
    digest = xxhash.xxh64(target.encode())
    hashed_bytes = min(len(prompt), _MAX_BLOCKS * _BLOCK_BYTES)
    for start in range(0, hashed_bytes - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        digest.update(prompt[start : start + _BLOCK_BYTES])
        hashes.append(digest.copy().intdigest())
    return hashes
