"""Sends requests with Poisson arrivals to an entry, without backpressure.

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

_MIN_US: Final = 1
_MAX_US: Final = 120_000_000
_SIGNIFICANT_DIGITS: Final = 3
_MICROSECONDS: Final = 1_000_000
_US_PER_MS: Final = 1000
_PERCENTILES: Final = (50, 95, 99)
_EVENT_PREFIX: Final = b'data: {'


def make_histogram() -> HdrHistogram:
    """Return an empty histogram for 1 microsecond to two minutes."""
    return HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)


@attrs.define
class Tally:
    """Counts and latencies of the requests; histograms in microseconds.

    ``completed`` streams ended with ``[DONE]``, ``refused`` requests got a
    status other than 200, and ``failed`` ones lost the connection or ended
    without ``[DONE]``.
    """

    sent: int = 0
    completed: int = 0
    refused: int = 0
    failed: int = 0
    tokens: int = 0
    first_token_us: HdrHistogram = attrs.field(factory=make_histogram)
    token_gap_us: HdrHistogram = attrs.field(factory=make_histogram)


@attrs.frozen
class LoadPlan:
    """What to send: ``rate`` requests per second on average.

    ``seconds`` is how long requests are sent, ``prompt_words`` the length of
    each prompt.
    """

    url: str
    models: tuple[str, ...]
    rate: float
    seconds: float
    seed: int = 1
    prompt_words: int = 20
    max_tokens: int = 64


async def run_load(plan: LoadPlan) -> Tally:
    """Send requests at random times that do not depend on the answers.

    Returns the counts after the last request has ended.
    """
    rng = random.Random(plan.seed)  # noqa: S311
    tally = Tally()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = set()
        started_at = time.perf_counter()
        due_s = rng.expovariate(plan.rate)
        while due_s < plan.seconds:
            await asyncio.sleep(
                max(0, started_at + due_s - time.perf_counter())
            )
            model = rng.choice(plan.models)
            words = (str(rng.random()) for _ in range(plan.prompt_words))
            coroutine = _send_request(
                session, plan, model, ' '.join(words), tally
            )
            task = asyncio.create_task(coroutine)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due_s += rng.expovariate(plan.rate)
        await asyncio.gather(*tasks)
    return tally


def summarize(tally: Tally) -> list[tuple[str, float, float, float]]:
    """Return a row for each latency, with its percentiles in milliseconds."""
    return [
        (name, *(
            round(histogram.get_value_at_percentile(percentile) / _US_PER_MS, 2)
            for percentile in _PERCENTILES
        ))
        for name, histogram in (
            ('first token ms', tally.first_token_us),
            ('between tokens ms', tally.token_gap_us),
        )
    ]  # fmt: skip


async def _send_request(
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
    started_at = time.perf_counter()
    try:
        async with session.post(
            f'{plan.url}/v1/chat/completions', json=body
        ) as response:
            if response.status != 200:
                tally.refused += 1
                return
            await _read_stream(response, started_at, tally)
    except aiohttp.ClientError:
        tally.failed += 1


async def _read_stream(
    response: aiohttp.ClientResponse,
    started_at: float,
    tally: Tally,
) -> None:
    last_at = started_at
    is_first = True
    is_finished = False
    async for line in response.content:
        if line.startswith(b'data: [DONE]'):
            is_finished = True
        if not line.startswith(_EVENT_PREFIX):
            continue
        event = json.loads(line[len(_EVENT_PREFIX) - 1 :])
        if 'error' in event or not event['choices'][0]['delta'].get('content'):
            continue
        now = time.perf_counter()
        elapsed_us = max(1, int((now - last_at) * _MICROSECONDS))
        histogram = tally.first_token_us if is_first else tally.token_gap_us
        histogram.record_value(elapsed_us)
        is_first = False
        last_at = now
        tally.tokens += 1
    tally.completed += int(is_finished)
    tally.failed += int(not is_finished)


@click.command()
@click.option('--url', required=True)
@click.option('--model', 'models', multiple=True, required=True)
@click.option('--rate', default=10.0, help='Requests per second.')
@click.option('--seconds', default=10.0)
@click.option('--seed', default=1)
def main(
    url: str,
    models: tuple[str, ...],
    rate: float,
    seconds: float,
    seed: int,
) -> None:
    """Send load to an entry and print counts and latency percentiles."""
    tally = asyncio.run(run_load(LoadPlan(url, models, rate, seconds, seed)))
    click.echo(
        f'sent {tally.sent}, completed {tally.completed}, '
        f'refused {tally.refused}, failed {tally.failed}, '
        f'tokens {tally.tokens}',
    )
    heading = ('', *(f'p{percentile}' for percentile in _PERCENTILES))
    click.echo(format_table(heading, summarize(tally)))


if __name__ == '__main__':
    main()
