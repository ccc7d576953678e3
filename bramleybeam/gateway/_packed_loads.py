"""Packs the loads of replicas into few bytes.

Loads are sent several times a second and are old by the time that they take on
slow links, so that their size decides how good the choice of a replica is. A
replica is identified by a short code that each gateway derives from its name.
Two replicas with the same code, which is unlikely, both get the sum of their
loads.
"""

import base64
import struct
from collections.abc import Mapping, Sequence
from typing import Final

import attrs
import xxhash

# Largest value of a code, of 3 bytes.
_MAX_CODE: Final = 0xFFFFFF
_CODE_BYTES: Final = 3
# Units of the packed values, which have 2 bytes each.
_PREFILL_UNIT_TOKENS: Final = 100
_MEMORY_UNIT_TOKENS: Final = 500
_MAX_VALUE: Final = 0xFFFF
_VALUE_BYTES: Final = 2
_VALUES: Final = 3


@attrs.frozen
class PackedLoad:
    """The load of one replica; see ``LoadReport`` for the fields."""

    requests: int
    prefill_tokens: int = 0
    memory_tokens: int = 0


def replica_code(name: str) -> int:
    """Return the code of a replica."""
    return xxhash.xxh32_intdigest(name.encode()) & _MAX_CODE


def pack_loads(loads: Mapping[int, PackedLoad]) -> str:
    """Return loads by code as text; values are rounded to their units.

    All codes come first, then all high bytes of the values and all low bytes, as
    the compression of the message finds more repetitions in this order.
    """
    codes = sorted(loads)
    values = [value for code in codes for value in _scale(loads[code])]
    high_bytes = bytes(value >> 8 for value in values)
    low_bytes = bytes(value & 0xFF for value in values)
    packed_codes = b''.join(code.to_bytes(_CODE_BYTES, 'big') for code in codes)
    return base64.b64encode(packed_codes + high_bytes + low_bytes).decode()


def unpack_loads(text: str) -> dict[int, PackedLoad]:
    """Return the loads by code; raises ``ValueError`` if ``text`` is malformed."""
    packed = base64.b64decode(text, validate=True)
    row_bytes = _CODE_BYTES + _VALUES * _VALUE_BYTES
    count, rest = divmod(len(packed), row_bytes)
    if rest:
        raise ValueError(f'{len(packed)} bytes are not rows of {row_bytes}')
    codes_end = count * _CODE_BYTES
    values = _join_bytes(packed[codes_end:])
    return {
        int.from_bytes(
            packed[row * _CODE_BYTES : (row + 1) * _CODE_BYTES], 'big'
        ): _unscale(values[row * _VALUES : (row + 1) * _VALUES])
        for row in range(count)
    }


def _join_bytes(packed: bytes) -> Sequence[int]:
    """Return the values whose high bytes precede their low bytes."""
    middle = len(packed) // 2
    interleaved = bytes(
        byte
        for pair in zip(packed[:middle], packed[middle:], strict=True)
        for byte in pair
    )
    return struct.unpack(f'>{middle}H', interleaved)


def _scale(load: PackedLoad) -> tuple[int, ...]:
    scaled = (
        load.requests,
        round(load.prefill_tokens / _PREFILL_UNIT_TOKENS),
        round(load.memory_tokens / _MEMORY_UNIT_TOKENS),
    )
    return tuple(min(max(0, value), _MAX_VALUE) for value in scaled)


def _unscale(values: Sequence[int]) -> PackedLoad:
    requests, prefill_units, memory_units = values
    return PackedLoad(
        requests,
        prefill_units * _PREFILL_UNIT_TOKENS,
        memory_units * _MEMORY_UNIT_TOKENS,
    )
