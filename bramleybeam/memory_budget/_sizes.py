"""Derives the byte budget of a process from the memory of its host."""

from typing import Final

_MEGABYTE: Final = 1_000_000
# The interpreter, the libraries and the state of a gateway take 44 MB.
_GATEWAY_MB: Final = 60
# Share of the rest that is counted. The other half is for copies, for memory that
# the allocator does not return, and for the buffers of the system.
_COUNTED_SHARE: Final = 0.5
# Used where the settings name no limit: the memory of a host of 552 MB.
_DEFAULT_MEMORY_MB: Final = 552
# Two bodies of the legal size, for hosts below 77 MB.
_MIN_BUDGET_BYTES: Final = 8_388_608


def budget_bytes(memory_mb: float, reserved_mb: float = _GATEWAY_MB) -> int:
    """Return the byte budget of a process with ``memory_mb`` megabytes.

    0 stands for a host without a configured limit. ``reserved_mb`` is what the
    process takes without callers.

    >>> budget_bytes(200), budget_bytes(0)
    (70000000, 246000000)
    """
    available_mb = (memory_mb or _DEFAULT_MEMORY_MB) - reserved_mb
    counted = int(available_mb * _MEGABYTE * _COUNTED_SHARE)
    return max(_MIN_BUDGET_BYTES, counted)
