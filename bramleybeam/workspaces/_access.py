"""Who a request's key opens, and what is refused."""

from typing import Final

import attrs
from expression import Error, Ok, Result

from bramleybeam.catalog import Route, RoutingConfiguration, Workspace
from bramleybeam.errors import ErrorKind, Refusal, refuse

# Retry-After while the keys are outdated; the next call to the store usually ends
# that.
_RETRY_AFTER_S: Final = 0.2
_SCHEME: Final = b'bearer'


@attrs.frozen
class KeyState:
    """How far the keys of the configuration in force can be relied on.

    ``is_current`` is whether their age is below the limit, or not limited;
    ``is_newest`` whether no newer configuration is known of.
    """

    is_current: bool = True
    is_newest: bool = True


# The state for a request that was admitted before: only a key that is gone
# matters, because the limit on the age counts from when a request was sent.
RECHECK: Final = KeyState()


def read_bearer_key(credentials: bytes) -> bytes:
    """Return the key in the value of an ``Authorization`` header.

    It is empty if the value has another scheme or no key.

    >>> read_bearer_key(b'bearer  k-1 ')
    b'k-1'
    """
    scheme, _, key = credentials.strip().partition(b' ')
    return key.strip() if scheme.lower() == _SCHEME else b''


def find_caller(
    configuration: RoutingConfiguration,
    route: Route,
    key: bytes,
    state: KeyState,
) -> Result[Workspace | None, Refusal]:
    """Return the workspace of a request, or why the request is refused.

    ``key`` is empty for a request without one. The workspace is ``None`` if
    the configuration has no keys, and on a public route without a key that
    can be relied on.
    """
    if not configuration.requires_keys:
        return Ok(None)
    workspace = configuration.find_workspace(key) if key else None
    if route.is_public:
        return Ok(workspace if state.is_current else None)
    if not key:
        return Error(refuse(ErrorKind.UNAUTHENTICATED))
    is_unsure = workspace is None and not state.is_newest
    if is_unsure or not state.is_current:
        return Error(
            refuse(ErrorKind.KEYS_OUTDATED, retry_after=_RETRY_AFTER_S)
        )
    if workspace is None:
        return Error(refuse(ErrorKind.UNAUTHENTICATED))
    return Ok(workspace)
