"""Quotas in the gateway: charges, messages and refusals."""

import asyncio
import random
import zlib

import attrs
import pytest

from bramleybeam import platform
from bramleybeam.catalog import (
    HostSettings,
    Quota,
    QuotaBounds,
    QuotaUnit,
    RequestKind,
    Route,
    RouteTarget,
    RoutingConfiguration,
    Service,
    TimeBounds,
    Workspace,
    WorkspaceDirectory,
)
from bramleybeam.errors import ErrorKind
from bramleybeam.gateway._attempt import Attempt
from bramleybeam.gateway._cluster_state import make_cluster_state
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._peer_codec import (
    UnreadablePeerMessageError,
    decode_peer_message,
    encode_peer_message,
)
from bramleybeam.gateway._peer_messages import Probe
from bramleybeam.gateway._quotas import QuotaKeeper
from bramleybeam.gateway._reply_observer import ReplyObserver
from bramleybeam.gateway._tree import ObservedPlanner, Peer
from bramleybeam.gateway.tests.test_attempt import (
    ANSWER,
    REFUSAL,
    REPLICA,
    Caller,
    Observer,
    ScriptedTransport,
    SingleConnection,
)
from bramleybeam.links import Notice, encode_frame
from bramleybeam.quotas import DemandRow, GrantRow, QuotaGrant, QuotaRequest
from bramleybeam.relay import InboundRequest, PeerConnection

ROUTE = Route(
    'post', 'd', '/p/', RequestKind.IDEMPOTENT, (RouteTarget('s', 1),), 9, 1
)
QUOTA = Quota(1000, 1000, QuotaUnit.TOKENS, 200)
LIMITED = Workspace('limited', quota=QUOTA)
FREE = Workspace('free')
EPOCH = 5


@attrs.define
class Lease:
    """The planner's lease as one gateway knows it."""

    held_epoch: int = 0
    elected_at: float = 0
    confirmed_at: float = 0
    knows_gateways: object = None


class Site:
    """Gateways that exchange datagrams, the first one being the planner."""

    def __init__(self, clock, names, quotas=(LIMITED, FREE)):
        self.clock = clock
        self.sent = []
        self.is_cut = False
        self.leases = [Lease() for _ in names]
        self.directories = [self.make_directory(names, quotas) for _ in names]
        self.keepers = [
            QuotaKeeper(
                make_settings(name),
                self.directories[index],
                self.leases[index],
                self.make_send(f'{name}:1'),
            )
            for index, name in enumerate(names)
        ]
        for keeper in self.keepers:
            keeper.entry_revision = lambda: 2
        self.names = names

    def make_directory(self, names, workspaces):
        directory = Directory(self.clock)
        directory.peers = {name: Peer(f'{name}:1', name) for name in names}
        directory.configuration = RoutingConfiguration(
            version=3,
            routes=(),
            services={},
            workspaces=WorkspaceDirectory.from_keys(
                (workspace, ()) for workspace in workspaces
            ),
        )
        return directory

    def make_send(self, sender):
        def send(address, datagram):
            self.sent.append((sender, address, datagram))
            if not self.is_cut:
                loop = asyncio.get_running_loop()
                loop.call_soon(self.deliver, address, datagram, sender)

        return send

    def deliver(self, address, datagram, sender):
        index = self.names.index(address.removesuffix(':1'))
        message = decode_peer_message(datagram)
        assert self.keepers[index].receive(message, sender)

    async def elect(self):
        """Make the first gateway the planner, which has waited long."""
        for directory in self.directories:
            directory.freshness.note_sync(EPOCH, self.clock())
            directory.note_planner(ObservedPlanner(EPOCH, self.names[0]))
            directory.signal()
        self.leases[0].held_epoch = EPOCH
        self.leases[0].elected_at = self.clock() - 8
        await self.tick()
        self.clock.now += 2

    async def tick(self, rounds=2):
        for _ in range(rounds):
            for directory in self.directories:
                directory.freshness.note_sync(EPOCH, self.clock())
            self.leases[0].confirmed_at = self.clock()
            for keeper in self.keepers:
                await keeper.keep()
            await asyncio.sleep(0.01)

    def close(self):
        for keeper in self.keepers:
            keeper.close()


def make_settings(name):
    return HostSettings(
        name,
        'z',
        '127.0.0.1',
        '',
        '',
        0,
        '',
        TimeBounds(),
        quota_bounds=QuotaBounds(8, 0.1, 1000),
    )


def make_job(workspace=LIMITED, tokens=300, objective_s=0.4):
    route = attrs.evolve(ROUTE, objective_s=objective_s)
    return Job(
        InboundRequest(b'POST', b'/p/x', (), b'', 0),
        platform.RequestFacts('id', 9, counted_tokens=tokens),
        route,
        Service('s', '/', 9),
        None,
        9,
        workspace=workspace,
    )


async def find_refusal(keeper, job):
    try:
        await keeper.charge(job)
    except RequestRefusedError as error:
        return error.refusal
    return None


@pytest.fixture
def boot_clock(clock, monkeypatch):
    clock.now = 1000
    monkeypatch.setattr(platform, 'boot_clock', clock)
    return clock


# Guards against requests that are refused although their quota is unused, at
# the coordinator's gateway and at another one.
@pytest.mark.parametrize('at', [0, 1])
async def test_a_request_within_the_quota_is_charged(boot_clock, at):
    site = Site(boot_clock, ['a', 'b'])
    await site.elect()
    job = make_job()
    assert await find_refusal(site.keepers[at], job) is None
    assert job.charge.is_valid
    totals = site.keepers[at].read_totals()['limited']
    assert totals['granted'] >= 300
    site.close()


# Guards against requests beyond the quota that run, and against a Retry-After
# after which they are refused again.
async def test_a_used_up_quota_is_refused_until_retry_after(boot_clock):
    site = Site(boot_clock, ['a', 'b'])
    await site.elect()
    refusal = None
    charged = 0
    while refusal is None and charged < 100:
        job = make_job()
        refusal = await find_refusal(site.keepers[1], job)
        charged += 1
    assert refusal.kind == ErrorKind.CALLER_LIMIT
    # The burst, and not more than a third of the excess as debt.
    assert 3 <= charged <= 7
    assert 0 < refusal.retry_after <= 2
    boot_clock.now += refusal.retry_after
    assert await find_refusal(site.keepers[1], make_job()) is None
    site.close()


# Guards against callers that are all told to return at the same time, when only
# one of them can be served.
async def test_refused_requests_return_one_after_the_other(boot_clock):
    site = Site(boot_clock, ['a', 'b'])
    await site.elect()
    refusals = await asyncio.gather(
        *(find_refusal(site.keepers[1], make_job()) for _ in range(12))
    )
    waits_s = sorted(
        refusal.retry_after for refusal in refusals if refusal is not None
    )
    assert len(waits_s) >= 5
    steps = [
        later - earlier
        for earlier, later in zip(waits_s, waits_s[1:], strict=False)
    ]
    assert min(steps) > 0.05
    assert waits_s[-1] < 30
    site.close()


# Guards against a refusal that claims that the quota is used up, though nobody
# has said so.
async def test_without_a_coordinator_it_is_unavailable(boot_clock):
    site = Site(boot_clock, ['a', 'b'])
    await site.elect()
    site.is_cut = True
    refusal = await find_refusal(site.keepers[1], make_job())
    assert refusal.kind == ErrorKind.QUOTA_UNAVAILABLE
    assert refusal.retry_after == 0.5
    site.close()


# Guards against a request that can never be granted but is told to come back.
async def test_a_request_beyond_all_limits_is_refused_for_good(boot_clock):
    site = Site(boot_clock, ['a'])
    await site.elect()
    refusal = await find_refusal(site.keepers[0], make_job(tokens=10**6))
    assert refusal.kind == ErrorKind.CALLER_LIMIT
    assert refusal.retry_after is None
    site.close()


# Guards against messages, waits or charges where nothing is limited.
@pytest.mark.parametrize('workspace', [None, FREE])
async def test_nothing_is_sent_without_quotas(boot_clock, workspace):
    site = Site(boot_clock, ['a', 'b'], quotas=(FREE,))
    await site.elect()
    job = make_job(workspace)
    assert await find_refusal(site.keepers[1], job) is None
    assert job.charge is None
    assert not site.sent
    site.close()


# Guards against a gateway that sends a request whose reservation has expired,
# and against one that does not reserve again.
async def test_an_expired_reservation_is_reserved_again(boot_clock):
    site = Site(boot_clock, ['a', 'b'])
    await site.elect()
    job = make_job()
    assert await find_refusal(site.keepers[1], job) is None
    boot_clock.now += 3.1
    assert not job.charge.is_valid
    await site.tick()
    assert await find_refusal(site.keepers[1], job) is None
    assert job.charge.is_valid
    site.close()


# Guards against a request that was cancelled while it waited and keeps what it
# was granted meanwhile.
async def test_a_cancelled_wait_leaves_no_reservation(boot_clock):
    site = Site(boot_clock, ['a', 'b'])
    await site.elect()
    job = make_job()
    task = asyncio.create_task(site.keepers[1].charge(job))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await site.tick()
    account = site.keepers[1]._client.find_account('limited')
    assert account.held == account.balance
    assert not account.waiters
    site.close()


MESSAGES = (
    QuotaRequest(7, 2**47, 3, True, {'w': DemandRow(1, 2, 3, 4, 5, 6, 7, 8)}),
    QuotaRequest(7, 1, 4),
    QuotaGrant(7, 1, 4, 9, 0.25, True, {'w': GrantRow(-5, 0.5)}),
    QuotaGrant(7),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_messages_survive_encoding(message):
    assert decode_peer_message(encode_peer_message(message)) == message


# Guards against an exception other than the one that the port expects, which
# would end the handling of datagrams: older gateways receive unknown topics.
@pytest.mark.parametrize('topic', ['quota-grant', 'quota-request', 'unknown'])
@pytest.mark.parametrize('body', [b'', b'{}', b'[]', b'{"epoch": "x"}', b'3'])
def test_unreadable_messages_are_reported_as_such(topic, body):
    datagram = encode_frame(Notice(topic, zlib.compress(body)))
    with pytest.raises(UnreadablePeerMessageError):
        decode_peer_message(datagram)


# Guards against datagrams that don't fit into one packet.
def test_many_rows_fit_into_a_datagram():
    rng = random.Random(1)
    rows = {
        f'{rng.getrandbits(60):x}': DemandRow(
            *(rng.randrange(10**6) for _ in range(8))
        )
        for _ in range(17)
    }
    request = QuotaRequest(10**9, 2**47, 10**6, True, rows)
    assert len(encode_peer_message(request)) < 1400


async def test_other_messages_are_left_to_the_tree(boot_clock):
    site = Site(boot_clock, ['a'])
    assert not site.keepers[0].receive(Probe(), 'a:1')


@attrs.define
class ChargeRecord:
    """Records what an attempt reports of a request's charge."""

    is_valid: bool = True
    events: list = attrs.field(factory=list)

    def note_sent(self):
        self.events.append('sent')

    def note_not_run(self):
        self.events.append('not run')


# Guards against an amount that is not spent by a request that may have run, and
# against one that is given back after another attempt may have run.
@pytest.mark.parametrize(
    ('reply', 'earlier_runs', 'events'),
    [
        (ANSWER, 0, ['sent']),
        (b'garbage', 0, ['sent']),
        (REFUSAL, 0, ['sent', 'not run']),
        (REFUSAL, 1, ['sent']),
    ],
)
async def test_attempt_spends_and_gives_back(reply, earlier_runs, events):
    connection = PeerConnection()
    connection.connection_made(ScriptedTransport(connection, [reply], 0))
    job = make_job()
    job.facts = attrs.evolve(job.facts, request_id='new')
    job.connection = Caller()
    job.charge = ChargeRecord()
    job.runs = earlier_runs
    pool = SingleConnection(connection)
    await Attempt(job, REPLICA, pool, Observer()).run(5)
    assert job.charge.events == events


# Guards against a request that is sent after its reservation has expired.
@pytest.mark.parametrize('is_valid', [True, False])
def test_reservation_is_checked_before_each_send(clock, is_valid):
    state = make_cluster_state(clock)
    job = make_job()
    job.charge = ChargeRecord(is_valid)
    observer = ReplyObserver(state, REPLICA, None, job, None)
    obstacle = observer.find_obstacle()
    assert (obstacle is None) == is_valid


# Guards against a cost that follows the hint on the length of the output.
@pytest.mark.parametrize(
    ('headers', 'tokens'),
    [
        (((b'Bramleybeam-Token-Counts', b'120,30'),), 150),
        (
            (
                (b'Bramleybeam-Token-Counts', b'120,30'),
                (b'Bramleybeam-Length-Hint', b'5'),
            ),
            150,
        ),
        (((b'Bramleybeam-Length-Hint', b'5'),), 0),
        (((b'Bramleybeam-Token-Counts', b'x'),), 0),
    ],
)
def test_counted_tokens_are_the_stated_numbers(headers, tokens):
    identity = (b'Bramleybeam-Request-Id', b'1')
    request = InboundRequest(b'POST', b'/p/x', (identity, *headers), b'', 0)
    assert platform.describe_request(request).counted_tokens == tokens
