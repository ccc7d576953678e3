"""Tests of the decoding of workspaces, their keys and quotas."""

import json

import pytest
from structlog.testing import capture_logs

from bramleybeam.catalog import Quota, QuotaUnit
from bramleybeam.platform import decode_configuration
from tests.platform_site import make_configuration

KEY = 'k-very-secret'
TENANT = {
    'name': 'guild',
    'api-keys': [KEY, 'k2'],
    'priority': 1,
    'unit': 'tokens',
    'plain-tokens': 200,
    'rate-per-s': 5000,
    'burst': 6000,
}


def encode(*tenants):
    return json.dumps(make_configuration(tenants=list(tenants))).encode()


def test_workspace_is_found_by_each_of_its_keys():
    configuration = decode_configuration(encode(TENANT))
    assert configuration.requires_keys
    found = [configuration.find_workspace(key) for key in (b'k2', KEY.encode())]
    assert [workspace.name for workspace in found] == ['guild', 'guild']
    assert found[0].priority == 1
    assert found[0].quota == Quota(5000, 6000, QuotaUnit.TOKENS, 200)
    assert configuration.find_workspace(b'k3') is None


def test_configuration_without_the_list_requires_no_keys():
    configuration = decode_configuration(
        json.dumps(make_configuration()).encode()
    )
    assert not configuration.requires_keys


def test_empty_list_opens_nothing():
    configuration = decode_configuration(encode())
    assert configuration.requires_keys
    assert configuration.find_workspace(KEY.encode()) is None


@pytest.mark.parametrize(
    ('changed', 'field'),
    [
        ({'name': 7}, 'tenants[0].name'),
        ({'name': 'a\nb'}, 'tenants[0].name'),
        ({'api-keys': KEY}, 'tenants[0].api-keys'),
        ({'api-keys': [[KEY]]}, 'tenants[0].api-keys'),
        ({'api-keys': ['']}, 'tenants[0].api-keys'),
        ({'priority': 'high'}, 'tenants[0].priority'),
        ({'unit': 'words'}, 'tenants[0].unit'),
        ({'rate-per-s': -1}, 'tenants[0].rate-per-s'),
        ({'burst': float('nan')}, 'tenants[0].burst'),
        ({'plain-tokens': True}, 'tenants[0].plain-tokens'),
    ],
)
def test_malformed_workspace_is_named_without_its_keys(changed, field):
    with capture_logs() as lines:
        assert decode_configuration(encode({**TENANT, **changed})) is None
    assert field in lines[0]['error']
    assert KEY not in json.dumps(lines)


def test_key_of_two_workspaces_is_rejected():
    other = {'name': 'office', 'api-keys': [KEY]}
    with capture_logs() as lines:
        assert decode_configuration(encode(TENANT, other)) is None
    assert KEY not in json.dumps(lines)


@pytest.mark.parametrize('text', [b'\xff', b'{"tenants": ["%s"'])
def test_unreadable_bytes_are_not_logged(text):
    with capture_logs() as lines:
        assert decode_configuration(KEY.encode() + text) is None
    assert KEY not in json.dumps(lines)


@pytest.mark.parametrize(
    ('quota', 'tokens', 'cost'),
    [
        (Quota(10, 5), 900, 1),
        (Quota(10, 5, QuotaUnit.TOKENS, 200), 900, 900),
        (Quota(10, 5, QuotaUnit.TOKENS, 200), 0, 200),
    ],
)
def test_cost_of_a_request(quota, tokens, cost):
    assert quota.cost(tokens) == cost
