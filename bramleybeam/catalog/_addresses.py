"""Check of the addresses that other processes state."""

import ipaddress
from typing import Any, Final

_MAX_PORT: Final = 65_535


def check_address(raw: Any) -> str:
    """Return ``raw`` if it is ``IP:PORT`` with a valid IPv4 address and port.

    Raises ``ValueError`` for anything else. An address that passes can be
    connected to without an error other than ``OSError``.
    """
    if not isinstance(raw, str):
        raise ValueError(f'not an address IP:PORT: {raw!r}')
    host, _, port = raw.rpartition(':')
    ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'not a port of 1 to {_MAX_PORT}: {raw!r}')
    return raw
