"""Creates identities and unique ids from the system's random source."""

import secrets
from typing import Final

from bramleybeam.links import LinkIdentity

_ID_BYTES: Final = 9


def make_unique_id(prefix: str) -> str:
    """Return a unique id: ``prefix``, a hyphen and 72 random bits."""
    return f'{prefix}-{secrets.token_urlsafe(_ID_BYTES)}'


def make_identity(name: str, role: str, zone: str, key: str) -> LinkIdentity:
    """Return the identity of a process, with a new incarnation id.

    ``key`` is the key that peers have to present.
    """
    return LinkIdentity(
        process=name,
        role=role,
        zone=zone,
        incarnation=make_unique_id(name),
        key=key,
    )
