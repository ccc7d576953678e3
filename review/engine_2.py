"""A model replica in a process of its own: ``engine_2.py NAME PORT DELAY HOLDS``.

It opens the port after DELAY seconds, and then writes its entry for the store as one
line to standard output; after that, a line for each request that it runs. With HOLDS =
1 it holds the model m1. From SIGUSR1 to SIGUSR2 each 50th of its streams (0.02) has
neither a length nor chunks. A stream has 30 events, 0.2 s apart.
"""

import asyncio
import json
import signal
import sys
import time

import attrs

from bramleybeam.relay import CallerServer
from tests.platform_replica import ReplicaStandIn

EVERY = 50


@attrs.define
class Engine(ReplicaStandIn):
    """Streams without a length now and then."""

    count: int = 0
    is_garbling: bool = False

    async def _stream(self, run, fault, head, connection):
        self.count += self.is_garbling
        is_unframed = self.is_garbling and self.count % EVERY == EVERY // 2
        end = 'without a length' if is_unframed else 'in chunks'
        print(f'{self.name} runs {run.request_id}, {end}', flush=True)
        await super()._stream(
            run, 'unframed_stream' if is_unframed else fault, head, connection
        )


async def main():
    name, port, delay = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    models = {'m1': frozenset()} if sys.argv[4] == '1' else {}
    replica = Engine(name, 'drafting-models', models=models)
    replica.zone = 'derwent'
    replica.events = 30
    replica.pause_s = 0.2
    replica.incarnation = int(time.time() * 1000)
    loop = asyncio.get_running_loop()
    for number, value in ((signal.SIGUSR1, True), (signal.SIGUSR2, False)):
        loop.add_signal_handler(
            number, setattr, replica, 'is_garbling', value
        )
    await asyncio.sleep(delay)
    replica._server = CallerServer(f'127.0.0.1:{port}', replica._answer)
    await replica._server.start()
    print(json.dumps(replica.entry(slots=64)), flush=True)
    await asyncio.sleep(118)


asyncio.run(main())
