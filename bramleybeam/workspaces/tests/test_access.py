"""Who is served with which key, and what is refused and how."""

import pytest

from bramleybeam.catalog import (
    RequestKind,
    Route,
    RouteTarget,
    RoutingConfiguration,
    Workspace,
    WorkspaceDirectory,
)
from bramleybeam.errors import ErrorKind, Execution
from bramleybeam.workspaces import (
    RECHECK,
    KeyState,
    find_caller,
    read_bearer_key,
)

HULE = Workspace('hule930', priority=0)
CONFIGURATION = RoutingConfiguration(
    3, (), {}, workspaces=WorkspaceDirectory.from_keys([(HULE, [b'k-1'])])
)
NO_WORKSPACES = RoutingConfiguration(3, (), {}, workspaces=WorkspaceDirectory())
NO_KEYS = RoutingConfiguration(3, (), {})
CURRENT = KeyState()
BEHIND = KeyState(is_newest=False)
OLD = KeyState(is_current=False)
# Status and Retry-After of each kind of refusal.
ANSWERS = {
    ErrorKind.UNAUTHENTICATED: (401, None),
    ErrorKind.KEYS_OUTDATED: (503, 0.2),
}


def make_route(*, is_public=False):
    return Route(
        'post',
        'desk',
        '/post/',
        RequestKind.IDEMPOTENT,
        (RouteTarget('ledger', 1),),
        3,
        1,
        is_public=is_public,
    )


@pytest.mark.parametrize(
    ('credentials', 'key'),
    [
        (b'Bearer k-1', b'k-1'),
        (b'bearer k-1', b'k-1'),
        (b'BEARER   k-1  ', b'k-1'),
        (b'Bearer k-1 k-2', b'k-1 k-2'),
        (b'Bearer \xff', b'\xff'),
        (b'Bearer', b''),
        (b'Bearer ', b''),
        (b'Basic k-1', b''),
        (b'k-1', b''),
        (b'Bearerk-1', b''),
        (b'', b''),
    ],
)
def test_key_is_read_from_bearer_credentials_only(credentials, key):
    """Another scheme must not open a workspace."""
    assert read_bearer_key(credentials) == key


@pytest.mark.parametrize(
    ('configuration', 'is_public', 'key', 'state', 'workspace'),
    [
        (CONFIGURATION, False, b'k-1', CURRENT, HULE),
        # A newer configuration may still have the key, until the age limit.
        (CONFIGURATION, False, b'k-1', BEHIND, HULE),
        (CONFIGURATION, True, b'k-1', CURRENT, HULE),
        (CONFIGURATION, True, b'k-2', CURRENT, None),
        (CONFIGURATION, True, b'', CURRENT, None),
        # An old key may have been removed; the route needs none.
        (CONFIGURATION, True, b'k-1', OLD, None),
        (CONFIGURATION, True, b'', OLD, None),
        (CONFIGURATION, False, b'k-1', RECHECK, HULE),
        (NO_WORKSPACES, True, b'k-1', CURRENT, None),
        # Without keys in the configuration nothing is checked.
        (NO_KEYS, False, b'', CURRENT, None),
        (NO_KEYS, False, b'k-1', OLD, None),
    ],
)
def test_served_requests_have_the_workspace_of_their_key(
    configuration, is_public, key, state, workspace
):
    route = make_route(is_public=is_public)
    assert find_caller(configuration, route, key, state).ok == workspace


@pytest.mark.parametrize(
    ('configuration', 'key', 'state', 'kind'),
    [
        (CONFIGURATION, b'', CURRENT, ErrorKind.UNAUTHENTICATED),
        (CONFIGURATION, b'k-2', CURRENT, ErrorKind.UNAUTHENTICATED),
        (CONFIGURATION, b'k-2', RECHECK, ErrorKind.UNAUTHENTICATED),
        # An empty list of workspaces requires keys, too.
        (NO_WORKSPACES, b'k-1', CURRENT, ErrorKind.UNAUTHENTICATED),
        # No newer configuration makes a request without a key valid.
        (CONFIGURATION, b'', OLD, ErrorKind.UNAUTHENTICATED),
        # A newer configuration may have the key.
        (CONFIGURATION, b'k-2', BEHIND, ErrorKind.KEYS_OUTDATED),
        (CONFIGURATION, b'k-2', OLD, ErrorKind.KEYS_OUTDATED),
        (CONFIGURATION, b'k-1', OLD, ErrorKind.KEYS_OUTDATED),
    ],
)
def test_refusals_tell_wrong_keys_from_old_knowledge(
    configuration, key, state, kind
):
    """A caller with a valid key must not be told that it is wrong."""
    refusal = find_caller(configuration, make_route(), key, state).error
    status, retry_after_s = ANSWERS[kind]
    assert (refusal.kind, refusal.execution) == (kind, Execution.NOT_RUN)
    assert (refusal.status, refusal.retry_after) == (status, retry_after_s)
    assert 'k-' not in refusal.message
