"""A model replica in a process of its own: ``engine_2.py NAME PORT DELAY HOLDS GARBLED``.

It opens the port after DELAY seconds, and then writes its entry for the store as one
line to standard output. With HOLDS = 1 it holds the model m1. With GARBLED = 1 each
50th of its streams (0.02) has neither a length nor chunks; all are whole. A stream has
40 events, 0.2 s apart.
"""

import asyncio
import json
import sys
import time

from bramleybeam.relay import CallerServer
from tests.platform_replica import ReplicaStandIn

EVERY = 50


class Engine(ReplicaStandIn):
    """Streams without a length now and then."""

    count = 0

    async def _stream(self, run, fault, head, connection):
        Engine.count += 1
        is_unframed = sys.argv[5] == '1' and Engine.count % EVERY == EVERY // 2
        await super()._stream(
            run, 'unframed_stream' if is_unframed else fault, head, connection
        )


async def main():
    name, port, delay = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    models = {'m1': frozenset()} if sys.argv[4] == '1' else {}
    replica = Engine(name, 'drafting-models', models=models)
    replica.zone = 'derwent'
    replica.events = 40
    replica.pause_s = 0.2
    replica.incarnation = int(time.time() * 1000)
    await asyncio.sleep(delay)
    replica._server = CallerServer(f'127.0.0.1:{port}', replica._answer)
    await replica._server.start()
    print(json.dumps(replica.entry(slots=64)), flush=True)
    await asyncio.sleep(118)


asyncio.run(main())
