"""Ages of keys in the messages between gateways."""

import asyncio

import attrs
import pytest

from bramleybeam.gateway._peer_codec import (
    UnreadablePeerMessageError,
    decode_peer_message,
    encode_peer_message,
)
from bramleybeam.gateway._peer_codec_parts import decode_keys, encode_keys
from bramleybeam.gateway._peer_messages import ParentUpdate, SubtreeReport
from bramleybeam.gateway.tests.exchange_network import Network
from bramleybeam.simulation import run_in_virtual_time
from bramleybeam.workspaces import KeyAge, KeyReport, StampEcho, max_key_age_s

REPORTS = (
    KeyReport(1 << 47, 3),
    KeyReport(5, 3, StampEcho(7, 1200)),
    KeyReport(5, 3, StampEcho(7, -300)),
)
MESSAGES = (SubtreeReport(0.5), ParentUpdate(0.5))


@pytest.mark.parametrize('message', MESSAGES)
@pytest.mark.parametrize('keys', [None, *REPORTS])
def test_report_on_keys_is_encoded(message, keys):
    """A message without it, as older gateways send, is decoded, too."""
    sent = attrs.evolve(message, keys=keys)
    assert decode_peer_message(encode_peer_message(sent)).keys == keys


def test_nothing_is_added_without_a_report():
    assert encode_keys(None) == {}


@pytest.mark.parametrize(
    'row', [[], [1], [1, 2, 3], [1, 2, 3, 4, 5], ['x', 2], [None, 2], 7]
)
def test_malformed_report_is_rejected(row):
    """Guards against an exception that ends the handling of datagrams."""
    with pytest.raises((ValueError, TypeError)):
        decode_keys({'keys': row})


def test_malformed_datagram_is_unreadable():
    sent = attrs.evolve(MESSAGES[0], keys=KeyReport('x', 1))
    with pytest.raises(UnreadablePeerMessageError):
        decode_peer_message(encode_peer_message(sent))


def limit_keys(node, offset_s):
    """Limit the age of a gateway's keys; its clock is ahead of the others."""
    loop = asyncio.get_running_loop()
    keys = KeyAge(lambda: loop.time() + offset_s, max_key_age_s(5))
    keys.version = 4
    node.cluster_state.directory.keys = keys
    node.cluster_state.directory.freshness.note_version(4)
    return keys


async def run_network(gateways, loss, read_steps):
    """Let the planner's gateway read the store in the first steps.

    Returns the ages of all keys after each step of 0.5 s but the first ten.
    """
    network = Network(gateways, loss=loss)
    keys = [
        limit_keys(node, number * 1000)
        for number, node in enumerate(network.nodes.values())
    ]
    samples = []
    for step in range(50):
        if step < read_steps:
            keys[0].note_read(keys[0].begin_read(4, 1), 1)
        await network.run(0.5)
        samples.append([age.age_s for age in keys])
    return samples[10:]


@pytest.mark.parametrize(('gateways', 'loss'), [(2, 0), (12, 0), (12, 0.05)])
def test_gateways_without_store_learn_from_the_tree(gateways, loss):
    """Guards against refusals at gateways that only lost the store."""
    samples = run_in_virtual_time(run_network(gateways, loss, 50))
    assert max(map(max, samples)) < max_key_age_s(5)


def test_gateways_do_not_keep_each_other_current():
    """Guards against ages that fall in a circle while the store is lost."""
    samples = run_in_virtual_time(run_network(6, 0, 20))
    # The last read is 0.5 s before the end of the tenth step of the sample.
    for step, ages_s in enumerate(samples[9:], 1):
        assert min(ages_s) >= step * 0.5 - 0.001
