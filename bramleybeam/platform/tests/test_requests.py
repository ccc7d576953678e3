"""Tests of decoding headers of requests and replies, and of encoding them."""

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.platform import (
    PromptPart,
    SendTerms,
    describe_reply,
    describe_request,
    outgoing_headers,
)
from bramleybeam.relay import InboundRequest, ReplyHead, find_header

REPLICA = Replica(
    'i-1', 's', '10.0.0.1:80', 'a', ReplicaState.READY, 4, 5, Holdings(0)
)


def make_request(*headers):
    pairs = tuple(tuple(line.split(b': ', 1)) for line in headers)
    return InboundRequest(b'POST', b'/x/y', pairs, b'', 0)


def test_request_headers_are_decoded():
    facts = describe_request(
        make_request(
            b'Bramleybeam-Request-Id: q1',
            b'Bramleybeam-Request-Deadline: 1500',
            b'Bramleybeam-Model: m1/a2',
            b'Bramleybeam-Token-Counts: 1460,80',
            b'Bramleybeam-Prompt-Prefix: 5c1e:800,91bd:410',
            b'Bramleybeam-Length-Hint: 60',
        )
    )
    assert (facts.request_id, facts.deadline_s) == ('q1', 1.5)
    assert (facts.model, facts.adapter) == ('m1', 'a2')
    assert (facts.prompt_tokens, facts.output_tokens) == (1460, 60)
    assert facts.parts == (PromptPart('5c1e', 800), PromptPart('91bd', 410))


@pytest.mark.parametrize(
    'line',
    [
        b'Bramleybeam-Request-Deadline: soon',
        b'Bramleybeam-Token-Counts: ,',
        b'Bramleybeam-Prompt-Prefix: ::,,:',
        b'Bramleybeam-Length-Hint: inf',
    ],
)
def test_malformed_numbers_give_defaults(line):
    facts = describe_request(make_request(b'Bramleybeam-Request-Id: q', line))
    assert facts.prompt_tokens == 0
    assert facts.deadline_s == 30


def test_request_without_id_gives_none():
    assert describe_request(make_request(b'Host: a')) is None


def test_reserved_headers_of_the_caller_are_replaced():
    request = make_request(
        b'Host: desk',
        b'Connection: close, X-Hop',
        b'X-Hop: 1',
        b'X-Kept: 2',
        b'Bramleybeam-Request-Deadline: 9000',
        b'Bramleybeam-Request-Priority: 0',
        b'Bramleybeam-Hold: h',
        b'Bramleybeam-Pin-Duration: 9',
        b'Kv-From: 10.0.0.9:1/x',
        b'Last-Event-Id: 3',
    )
    sent = outgoing_headers(request, SendTerms(REPLICA, 0.25, 4, '7'))
    assert dict(sent) == {
        b'Host': b'desk',
        b'X-Kept': b'2',
        b'Bramleybeam-Request-Deadline': b'250',
        b'Bramleybeam-Expect-Instance': b'i-1',
        b'Bramleybeam-Request-Priority': b'4',
        b'Last-Event-Id': b'7',
    }


@pytest.mark.parametrize(
    ('status', 'header', 'never_ran', 'sealed'),
    [
        (200, (b'Bramleybeam-Response-Seal', b's'), False, True),
        (503, (b'Bramleybeam-Not-Executed', b'1'), True, False),
        (503, (b'X', b'1'), False, False),
        (421, (b'X', b'1'), True, False),
        (500, (b'Bramleybeam-Response-Seal', b's'), False, True),
    ],
)
def test_reply_facts_tell_whether_it_ran(status, header, never_ran, sealed):
    facts = describe_reply(ReplyHead(status, (header,)))
    assert (facts.never_ran, facts.is_sealed) == (never_ran, sealed)
    assert find_header((header,), header[0].lower()) == header[1]


@pytest.mark.parametrize(
    ('status', 'stated', 'is_leaving'),
    [
        (200, b'1', True),
        (500, b' 1 ', True),
        (503, b'1', True),
        (200, b'0', False),
        (200, b'', False),
        # The reply may come from another replica at the same address.
        (421, b'1', False),
    ],
)
def test_reply_states_that_its_replica_is_leaving(status, stated, is_leaving):
    facts = describe_reply(ReplyHead(status, ((b'Server-Leaving', stated),)))
    assert facts.is_leaving == is_leaving


@pytest.mark.parametrize(
    ('status', 'stated', 'retry_after_s'),
    [
        (503, b'2', 2.0),
        (503, b'0.25', 0.25),
        (503, b'0', 0.0),
        (503, b'1e9', 60.0),
        (503, b'inf', 60.0),
        (503, b'-1', None),
        (503, b'nan', None),
        (503, b'soon', None),
        (503, b'Wed, 21 Oct 2015 07:28:00 GMT', None),
        (503, b'', None),
        (500, b'2', None),
        (429, b'2', None),
    ],
)
def test_retry_after_of_an_overloaded_replica(status, stated, retry_after_s):
    facts = describe_reply(ReplyHead(status, ((b'Retry-After', stated),)))
    assert facts.retry_after_s == retry_after_s


def test_reply_without_the_headers_states_neither():
    facts = describe_reply(ReplyHead(503, ()))
    assert facts.is_overloaded
    assert not facts.is_leaving
    assert facts.retry_after_s is None


@pytest.mark.parametrize(
    ('workspace', 'sent_names'), [('', []), ('hule930', [b'hule930'])]
)
@pytest.mark.parametrize(
    ('hides_keys', 'sent_keys'),
    [(False, [b'Bearer k-1', b'Bearer k-2']), (True, [])],
)
def test_keys_and_foreign_workspaces_do_not_reach_replicas(
    workspace, sent_names, hides_keys, sent_keys
):
    """Guards against callers that name a workspace, or a replica with a key."""
    request = make_request(
        b'Host: desk',
        b'AUTHORIZATION: Bearer k-1',
        b'Bramleybeam-Tenant: other',
        b'bramleybeam-tenant: another',
        b'authorization: Bearer k-2',
    )
    terms = SendTerms(REPLICA, 0.25, workspace=workspace, hides_keys=hides_keys)
    sent = outgoing_headers(request, terms)
    names = [value for name, value in sent if b'tenant' in name.lower()]
    keys = [value for name, value in sent if b'auth' in name.lower()]
    assert (names, keys) == (sent_names, sent_keys)


def test_first_credentials_count_and_are_not_printed():
    """Guards against keys in log lines that contain the facts."""
    facts = describe_request(
        make_request(
            b'Bramleybeam-Request-Id: q',
            b'Authorization: Bearer k-1',
            b'Authorization: Bearer k-2',
        )
    )
    assert facts.credentials == b'Bearer k-1'
    assert 'k-1' not in repr(facts)
