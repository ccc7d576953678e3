"""Two replicas of four end some bodies with bytes without end."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from review.rig import TROUBLE, Client, Rig, run

CLIENTS = 40
MEMORY_MB = 300
# The platform starts a process again after a short delay.
RESTART_S = 0.5
# Share of the answers that two replicas of four garble, for 5 s a round.
SHARE = 0.02
ROUNDS = 4
TROUBLED = ('i-2', 'i-3')


class Platform:
    """Kills a gateway that exceeds its memory, and starts it again."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.gateway = None
        self.kills = []
        self.peak_mb = 0.0

    async def keep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            used = memory_mb(self.gateway.process.pid)
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.kills.append(used)
                self.rig.record.note(
                    f'the gateway uses {used:.0f} of {MEMORY_MB} MB and is killed'
                )
                await self.gateway.kill()
                await asyncio.sleep(RESTART_S)
                self.gateway = await self.rig.start_gateway()


def memory_mb(pid: int) -> float:
    try:
        for line in Path(f'/proc/{pid}/status').read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def case(rig: Rig) -> bool:
    for number in range(4):
        await rig.start_replica(
            f'i-{number}', '--work', '300', '--garble', 'endless', '--share', str(SHARE)
        )
    platform = Platform(rig)
    platform.gateway = await rig.start_gateway()
    keeper = asyncio.create_task(platform.keep())
    answers = []
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(send(rig, platform, number, answers, stop))
        for number in range(CLIENTS)
    ]
    troubled = [rig.replicas[name] for name in TROUBLED]
    for _ in range(ROUNDS):
        await asyncio.sleep(5)
        if TROUBLE:
            rig.record.note(f'{TROUBLED} begin to garble {SHARE} of their answers')
            for replica in troubled:
                replica.signal(signal.SIGUSR1)
        await asyncio.sleep(5)
        if TROUBLE:
            rig.record.note(f'{TROUBLED} are sound again')
            for replica in troubled:
                replica.signal(signal.SIGUSR2)
    await asyncio.sleep(5)
    stop.set()
    await asyncio.gather(*tasks)
    keeper.cancel()
    return judge(rig, platform, answers)


async def send(rig, platform, number, answers, stop) -> None:
    rng = random.Random(number)
    client = Client(rig, platform.gateway.callers)
    route = 'permit-issue' if number % 3 else 'permit-lookup'
    count = 0
    while not stop.is_set():
        if client.address != platform.gateway.callers:
            client.close()
            client = Client(rig, platform.gateway.callers)
        count += 1
        request_id = f'{number:03x}{count:05x}'
        answer = await client.ask(request_id, route)
        answers.append((len(platform.kills), answer))
        await asyncio.sleep(rng.uniform(0.05, 0.35))
    client.close()


def judge(rig: Rig, platform: Platform, answers) -> bool:
    """Return whether more than three requests of kept connections were lost.

    Counted are those that only replicas without a disruption ran, and whose
    connection was closed without an answer, up to the first end of the gateway.
    """
    runs = {}
    for replica in rig.replicas.values():
        for row in replica.events('run'):
            runs.setdefault(row['request'], set()).add(replica.name)
    lost = [
        (kills, answer)
        for kills, answer in answers
        if answer.end == 'closed'
        and answer.on_kept
        and runs.get(answer.request_id)
        and runs[answer.request_id].isdisjoint(TROUBLED)
    ]
    for kills, answer in lost:
        rig.record.note(
            f'LOST at end {kills} of the gateway: {answer.route} {answer.request_id},'
            f' run by {sorted(runs[answer.request_id])}, closed without an answer'
        )
    first = sum(kills == 1 for kills, _ in lost)
    good = sum(answer.status == 200 for _, answer in answers)
    rig.record.say(
        f'{len(answers)} requests, {good} served; the gateway ended {len(platform.kills)}'
        f' times for its memory, most used {platform.peak_mb:.0f} of {MEMORY_MB} MB;'
        f' {len(lost)} requests of kept connections at sound replicas were closed'
        f' without an answer, {first} of them at its first end'
    )
    if good < 100:
        raise RuntimeError('too few answers')
    return first > 3


sys.exit(asyncio.run(run(Path(__file__).parent, case)))
