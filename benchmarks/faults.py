"""How long callers wait when a fault strikes, and what they lose.

Runs real processes behind fault proxies, strikes streams in flight, and
prints for each fault the longest pause between tokens and how the requests
ended::

    python -m benchmarks.faults
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import aiohttp
import attrs
import click

from bramleybeam.operators import format_table
from tests.calls import expected_text
from tests.documents import make_document
from tests.processes import ProcessCluster
from tests.test_faults import (
    cut_agents,
    cut_upstream,
    kill_agent,
    pause_agent,
    silence_agents,
    silence_backward,
    silence_forward,
)

STREAMS: Final = 12
ROUNDS: Final = 3
FAULTS: Final = (
    cut_agents,
    silence_agents,
    silence_forward,
    silence_backward,
    pause_agent,
    kill_agent,
    cut_upstream,
)
_MODELS: Final = ('drafter-a', 'drafter-b', 'council-a')


@attrs.define
class Outcome:
    """How one stream ended, and its longest pause in seconds."""

    whole: bool = False
    refused: bool = False
    unknown: bool = False
    longest_pause: float = 0


async def follow(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    prompt: str,
) -> Outcome:
    """Read one stream and note its longest pause."""
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': True,
    }
    outcome = Outcome()
    texts: list[str] = []
    last = time.perf_counter()
    async with session.post(
        f'{url}/v1/chat/completions', json=body
    ) as response:
        outcome.refused = response.status != 200
        async for line in response.content:
            if not line.startswith(b'data: {'):
                continue
            now = time.perf_counter()
            outcome.longest_pause = max(outcome.longest_pause, now - last)
            last = now
            event: dict[str, Any] = json.loads(line[6:])
            if 'error' in event:
                outcome.unknown = True
                break
            texts.append(event['choices'][0]['delta'].get('content', ''))
    outcome.whole = ''.join(texts) == expected_text(model, prompt)
    return outcome


async def strike(
    cluster: ProcessCluster, fault: Any, number: int
) -> list[Outcome]:
    """Run streams, strike after half a second, and collect them."""
    await cluster.wait_reachable()
    streams = [
        asyncio.create_task(
            follow(
                cluster.session,
                cluster.urls[f'entry-{index % 2}'],
                _MODELS[index % len(_MODELS)],
                f'{fault.__name__} {number} {index}',
            ),
        )
        for index in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    await fault(cluster)
    return list(await asyncio.gather(*streams))


async def run() -> None:
    """Strike each fault a few times and print a table."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_document())
        try:
            await cluster.start()
            for fault in FAULTS:
                outcomes = [
                    outcome
                    for number in range(ROUNDS)
                    for outcome in await strike(cluster, fault, number)
                ]
                pauses = sorted(one.longest_pause for one in outcomes)
                rows.append(
                    (
                        fault.__name__,
                        len(outcomes),
                        sum(one.whole for one in outcomes),
                        sum(one.refused for one in outcomes),
                        sum(one.unknown for one in outcomes),
                        f'{pauses[len(pauses) // 2]:.2f}',
                        f'{pauses[-1]:.2f}',
                    )
                )
        finally:
            await cluster.close()
    heading = ('FAULT', 'STREAMS', 'WHOLE', 'REFUSED', 'UNKNOWN',
               'MEDIAN PAUSE S', 'LONGEST PAUSE S')  # fmt: skip
    click.echo(format_table(heading, rows))


if __name__ == '__main__':
    asyncio.run(run())
