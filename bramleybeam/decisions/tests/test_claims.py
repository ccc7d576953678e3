"""Tests of claims on idempotency keys, by table and random histories."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.decisions import ClaimIndex, Verdict
from bramleybeam.messages import ClaimCall


def call(action, nonce='n1', fingerprint='f', status=0, answer=''):
    """Return a claim call for the only key of these tests."""
    return ClaimCall(action, 'key', nonce, fingerprint, status, answer)


def apply_calls(index, *calls):
    """Evaluate calls in order, adding each record; return the verdicts."""
    verdicts = []
    for claim_call in calls:
        decision = index.decide(claim_call)
        if decision.record is not None:
            index.add(decision.record)
        verdicts.append(decision.reply.verdict)
    return verdicts


@pytest.mark.parametrize(
    ('calls', 'last'),
    [
        ([call('claim')], Verdict.GRANTED),
        ([call('claim'), call('claim')], Verdict.GRANTED),
        ([call('claim'), call('claim', 'n2')], Verdict.IN_PROGRESS),
        ([call('claim'), call('claim', 'n2', 'other')], Verdict.REUSED),
        ([call('claim'), call('release'), call('claim', 'n2')], Verdict.GRANTED),
        ([call('claim'), call('finish'), call('claim', 'n2')], Verdict.FINISHED),
        ([call('claim'), call('finish', 'n2'), call('claim', 'n3')],
         Verdict.IN_PROGRESS),
        ([call('release'), call('claim')], Verdict.UNAVAILABLE),
        ([call('release'), call('claim', 'n2')], Verdict.GRANTED),
        ([call('claim'), call('finish'), call('release'), call('claim', 'n2')],
         Verdict.FINISHED),
    ],
)  # fmt: skip
def test_verdict_of_last_call(calls, last):
    """The verdict on the last call depends on the calls before it."""
    assert apply_calls(ClaimIndex(), *calls)[-1] == last


def test_repeated_request_gets_recorded_answer():
    """The recorded status and answer are returned unchanged."""
    index = ClaimIndex()
    apply_calls(index, call('claim'), call('finish', status=201, answer='done'))
    reply = index.decide(call('claim', 'n2')).reply
    assert (reply.status, reply.answer) == (201, 'done')


@given(
    history=st.lists(
        st.tuples(
            st.sampled_from(['claim', 'finish', 'release']),
            st.sampled_from(['n1', 'n2', 'n3']),
        ),
        max_size=20,
    ),
)
@settings(derandomize=True, max_examples=400, deadline=None)
def test_key_is_granted_to_one_nonce_at_a_time(history):
    """Between a grant and its release no other nonce is granted."""
    index = ClaimIndex()
    holder = None
    for action, nonce in history:
        (verdict,) = apply_calls(index, call(action, nonce))
        if action == 'claim' and verdict == Verdict.GRANTED:
            assert holder in {None, nonce}
            holder = nonce
        if action == 'release' and nonce == holder:
            holder = None
