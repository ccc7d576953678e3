"""Remembers where prompt prefixes were run: a hint that decays."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

import xxhash

_BLOCK_CHARACTERS: Final = 96
_MAX_BLOCKS: Final = 16
_MAX_REMEMBERED: Final = 20_000
_HALF_LIFE_S: Final = 60.0


class PrefixMemory:
    """Which upstream ran which prefix last, as far as this entry knows.

    The engines' own cache events come late and with gaps, and would have to
    reach every entry; the entry's own routing is known at once and for
    nothing. It sees only its own requests, so it is a hint and no more.
    """

    def __init__(self) -> None:
        """Start with nothing remembered."""
        self._blocks: OrderedDict[tuple[str, int], float] = OrderedDict()

    def note(self, upstream: str, blocks: Sequence[int], now: float) -> None:
        """Remember that an upstream is running a prompt of these blocks."""
        for block in blocks:
            self._blocks[upstream, block] = now
            self._blocks.move_to_end((upstream, block))
        while len(self._blocks) > _MAX_REMEMBERED:
            self._blocks.popitem(last=False)

    def share(self, upstream: str, blocks: Sequence[int], now: float) -> float:
        """Return the share of the blocks believed to be cached, 0 to 1."""
        cached = 0.0
        for block in blocks:
            moment = self._blocks.get((upstream, block))
            if moment is None:
                break
            cached += 0.5 ** ((now - moment) / _HALF_LIFE_S)
        return cached / len(blocks) if blocks else 0

    def count_leading(self, upstream: str, blocks: Sequence[int]) -> int:
        """Count the leading blocks that the upstream has run."""
        for index, block in enumerate(blocks):
            if (upstream, block) not in self._blocks:
                return index
        return len(blocks)


def hash_blocks(target: str, prompt: bytes) -> list[int]:
    """Return a hash for each whole block of a prompt's beginning."""
    hashes = []
    digest = xxhash.xxh64(target.encode())
    longest = min(len(prompt), _MAX_BLOCKS * _BLOCK_CHARACTERS)
    for start in range(0, longest - _BLOCK_CHARACTERS + 1, _BLOCK_CHARACTERS):
        digest.update(prompt[start : start + _BLOCK_CHARACTERS])
        hashes.append(digest.copy().intdigest())
    return hashes
