"""Measures how faults delay and end the streams of callers.

Runs processes behind fault proxies, injects each fault while streams are in
flight, and prints for each fault the pauses between tokens and the number of
streams by outcome::

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
class StreamOutcome:
    """The outcome of a stream and its longest pause in seconds.

    ``complete``: the caller received the whole text. ``refused``: the status
    was not 200. ``unknown``: the stream ended with an error event.
    """

    complete: bool = False
    refused: bool = False
    unknown: bool = False
    longest_pause_s: float = 0


async def read_stream(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    prompt: str,
) -> StreamOutcome:
    """Request a stream, read it to the end and return its outcome."""
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': True,
    }
    outcome = StreamOutcome()
    texts: list[str] = []
    last_at = time.perf_counter()
    async with session.post(
        f'{url}/v1/chat/completions', json=body
    ) as response:
        outcome.refused = response.status != 200
        async for line in response.content:
            if not line.startswith(b'data: {'):
                continue
            now = time.perf_counter()
            outcome.longest_pause_s = max(
                outcome.longest_pause_s, now - last_at
            )
            last_at = now
            event: dict[str, Any] = json.loads(line[6:])
            if 'error' in event:
                outcome.unknown = True
                break
            texts.append(event['choices'][0]['delta'].get('content', ''))
    outcome.complete = ''.join(texts) == expected_text(model, prompt)
    return outcome


async def inject_fault(
    cluster: ProcessCluster, fault: Any, round_number: int
) -> list[StreamOutcome]:
    """Start streams, inject a fault after 0.5 s and return all outcomes.

    Waits first until the cluster has recovered from the previous fault.
    """
    await cluster.wait_reachable()
    streams = [
        asyncio.create_task(
            read_stream(
                cluster.session,
                cluster.urls[f'entry-{index % 2}'],
                _MODELS[index % len(_MODELS)],
                f'{fault.__name__} {round_number} {index}',
            ),
        )
        for index in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    await fault(cluster)
    return list(await asyncio.gather(*streams))


async def run() -> None:
    """Inject each fault ``ROUNDS`` times and print a table."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_document())
        try:
            await cluster.start()
            for fault in FAULTS:
                outcomes = [
                    outcome
                    for round_number in range(ROUNDS)
                    for outcome in await inject_fault(
                        cluster, fault, round_number
                    )
                ]
                pauses_s = sorted(result.longest_pause_s for result in outcomes)
                rows.append(
                    (
                        fault.__name__,
                        len(outcomes),
                        sum(result.complete for result in outcomes),
                        sum(result.refused for result in outcomes),
                        sum(result.unknown for result in outcomes),
                        f'{pauses_s[len(pauses_s) // 2]:.2f}',
                        f'{pauses_s[-1]:.2f}',
                    )
                )
        finally:
            await cluster.close()
    heading = ('FAULT', 'STREAMS', 'COMPLETE', 'REFUSED', 'UNKNOWN',
               'MEDIAN PAUSE S', 'LONGEST PAUSE S')  # fmt: skip
    click.echo(format_table(heading, rows))


if __name__ == '__main__':
    asyncio.run(run())
