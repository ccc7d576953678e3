"""Makes identities and unique ids from the system's random source."""

import secrets
from typing import Final

from bramleybeam.links import LinkIdentity

_ID_BYTES: Final = 9


def make_unique_id(prefix: str) -> str:
    """Return an id that no other process makes."""
    return f'{prefix}-{secrets.token_urlsafe(_ID_BYTES)}'


def make_identity(name: str, role: str, zone: str, key: str) -> LinkIdentity:
    """Make the identity of a process; each start is a new incarnation."""
    return LinkIdentity(
        process=name,
        role=role,
        zone=zone,
        incarnation=make_unique_id(name),
        key=key,
    )
