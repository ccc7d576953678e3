"""Open-loop load with Poisson arrivals against any entry.

Example::

    python -m benchmarks.load --url http://127.0.0.1:8088 --rate 20 \
        --seconds 20 --model drafter-01 --seed 1
"""

import asyncio
import json
import random
import time
from typing import Final

import aiohttp
import attrs
import click
from hdrh.histogram import HdrHistogram

from bramleybeam.operators import format_table

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 120_000_000
_DIGITS: Final = 3
_MICROSECONDS: Final = 1_000_000
_MILLISECONDS: Final = 1000
_PERCENTILES: Final = (50, 95, 99)
_DATA: Final = b'data: {'


def make_histogram() -> HdrHistogram:
    """Make a histogram of microseconds up to two minutes."""
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


@attrs.define
class Tally:
    """What the load saw; histograms are in microseconds."""

    sent: int = 0
    whole: int = 0
    refused: int = 0
    broken: int = 0
    tokens: int = 0
    first_token: HdrHistogram = attrs.field(factory=make_histogram)
    token_gap: HdrHistogram = attrs.field(factory=make_histogram)


@attrs.frozen
class LoadPlan:
    """What to send: ``rate`` a second on average, for ``seconds``."""

    url: str
    models: tuple[str, ...]
    rate: float
    seconds: float
    seed: int = 1
    prompt_words: int = 20
    max_tokens: int = 64


async def run_load(plan: LoadPlan) -> Tally:
    """Send the plan's requests at their times, whatever the answers do."""
    rng = random.Random(plan.seed)  # noqa: S311
    tally = Tally()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        sending = set()
        begun = time.perf_counter()
        due = rng.expovariate(plan.rate)
        while due < plan.seconds:
            await asyncio.sleep(max(0, begun + due - time.perf_counter()))
            model = rng.choice(plan.models)
            words = (str(rng.random()) for _ in range(plan.prompt_words))
            work = _send(session, plan, model, ' '.join(words), tally)
            task = asyncio.create_task(work)
            sending.add(task)
            task.add_done_callback(sending.discard)
            due += rng.expovariate(plan.rate)
        await asyncio.gather(*sending)
    return tally


def summarize(tally: Tally) -> list[tuple[str, float, float, float]]:
    """Return rows of percentiles in milliseconds."""
    return [
        (name, *(
            round(histogram.get_value_at_percentile(one) / _MILLISECONDS, 2)
            for one in _PERCENTILES
        ))
        for name, histogram in (
            ('first token ms', tally.first_token),
            ('between tokens ms', tally.token_gap),
        )
    ]  # fmt: skip


async def _send(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    model: str,
    prompt: str,
    tally: Tally,
) -> None:
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': True,
        'max_tokens': plan.max_tokens,
    }
    tally.sent += 1
    begun = time.perf_counter()
    try:
        async with session.post(
            f'{plan.url}/v1/chat/completions', json=body
        ) as response:
            if response.status != 200:
                tally.refused += 1
                return
            await _read(response, begun, tally)
    except aiohttp.ClientError:
        tally.broken += 1


async def _read(
    response: aiohttp.ClientResponse,
    begun: float,
    tally: Tally,
) -> None:
    last = begun
    first = True
    finished = False
    async for line in response.content:
        if line.startswith(b'data: [DONE]'):
            finished = True
        if not line.startswith(_DATA):
            continue
        event = json.loads(line[len(_DATA) - 1 :])
        if 'error' in event or not event['choices'][0]['delta'].get('content'):
            continue
        now = time.perf_counter()
        elapsed = max(1, int((now - last) * _MICROSECONDS))
        histogram = tally.first_token if first else tally.token_gap
        histogram.record_value(elapsed)
        first = False
        last = now
        tally.tokens += 1
    tally.whole += int(finished)
    tally.broken += int(not finished)


@click.command()
@click.option('--url', required=True)
@click.option('--model', 'models', multiple=True, required=True)
@click.option('--rate', default=10.0, help='Requests a second.')
@click.option('--seconds', default=10.0)
@click.option('--seed', default=1)
def main(
    url: str,
    models: tuple[str, ...],
    rate: float,
    seconds: float,
    seed: int,
) -> None:
    """Load an entry and print what its callers see."""
    tally = asyncio.run(run_load(LoadPlan(url, models, rate, seconds, seed)))
    click.echo(
        f'sent {tally.sent}, whole {tally.whole}, refused {tally.refused}, '
        f'broken {tally.broken}, tokens {tally.tokens}',
    )
    heading = ('', *(f'p{one}' for one in _PERCENTILES))
    click.echo(format_table(heading, summarize(tally)))


if __name__ == '__main__':
    main()
