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
