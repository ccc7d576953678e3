"""Two replicas of four send bytes that are no answer in place of some answers."""

import asyncio
import signal
import sys
from pathlib import Path

from review.replica import whole_body
from review.rig import TROUBLE, Client, Rig, run

CLIENTS = 60
BODY = 800
# Share of the answers that two replicas of four garble, for 5 s a round.
SHARE = 0.02
ROUNDS = 13
TROUBLED = ('i-2', 'i-3')


async def case(rig: Rig) -> bool:
    for number in range(4):
        await rig.start_replica(
            f'i-{number}', '--work', '90', '--body', str(BODY),
            '--garble', 'stray', '--share', str(SHARE), '--closes', '0.05',
        )
    gateway = await rig.start_gateway()
    answers = []
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(send(rig, gateway.callers, number, answers, stop))
        for number in range(CLIENTS)
    ]
    for _ in range(ROUNDS):
        await asyncio.sleep(2)
        for name in TROUBLED if TROUBLE else ():
            rig.record.note(f'{name} begins to garble {SHARE} of its answers')
            rig.replicas[name].signal(signal.SIGUSR1)
        await asyncio.sleep(5)
        for name in TROUBLED if TROUBLE else ():
            rig.replicas[name].signal(signal.SIGUSR2)
            rig.record.note(f'{name} is sound again')
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*tasks)
    return judge(rig, answers)


async def send(rig, address, number, answers, stop) -> None:
    client = Client(rig, address)
    route = 'permit-issue' if number % 3 else 'permit-lookup'
    count = 0
    while not stop.is_set():
        count += 1
        answers.append(await client.ask(f'{number:03x}{count:05x}', route))
        await asyncio.sleep(0.3)
    client.close()


def judge(rig: Rig, answers) -> bool:
    """Return whether a success came without the replica's seal, or not its body."""
    ends = {}
    wrong = []
    for answer in answers:
        end = f'{answer.end} {answer.status}'
        ends[end] = ends.get(end, 0) + 1
        if answer.end != 'whole' or not 200 <= answer.status < 300:
            continue
        seal = answer.headers.get('bramleybeam-response-seal')
        body = whole_body(answer.request_id, BODY)
        if seal != f'seal.{answer.request_id}' or answer.body != body:
            wrong.append(answer)
            rig.record.note(
                f'MIXED: {answer.route} {answer.request_id} got {answer.status} with'
                f' seal {seal} and body {answer.body[:40]!r}'
            )
    rig.record.say(
        f'{len(answers)} requests: {ends}; {len(wrong)} successes without the seal of'
        ' the replica'
    )
    if len(answers) < 100:
        raise RuntimeError('too few answers')
    return bool(wrong)


sys.exit(asyncio.run(run(Path(__file__).parent, case)))
