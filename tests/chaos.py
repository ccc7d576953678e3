"""Seeded random faults against real processes under load.

Afterwards the answers and the states of the upstreams are checked.
"""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from tests.calls import Answer, ask, expected_text, post
from tests.processes import ProcessCluster

MODELS = ('drafter-a', 'drafter-b', 'council-a')
ENGINES = ('engine-1', 'engine-2', 'engine-3')
RECOVERY_LIMIT_S = 60
_MAX_POST_ATTEMPTS = 4


@attrs.define
class Findings:
    """Counts of outcomes and injected faults, and the violations found."""

    answers: int = 0
    refused: int = 0
    unknown: int = 0
    cut: int = 0
    postings: int = 0
    faults: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)

    def rows(self) -> list[tuple[str, int]]:
        """Return the rows of a table: a label and a count."""
        faults = [
            (f'fault: {name}', count)
            for name, count in sorted(self.faults.items())
        ]
        return [
            ('whole answers', self.answers),
            ('refused as not run', self.refused),
            ('outcome unknown', self.unknown),
            ('cut with their entry', self.cut),
            ('keyed postings', self.postings),
            *faults,
            ('VIOLATIONS', len(self.violations)),
        ]


class Chaos:
    """Injects faults into a cluster while callers send requests.

    All faults and their times are drawn from one seed.
    """

    def __init__(self, cluster: ProcessCluster, seed: int) -> None:
        """Store the cluster and seed the random generator."""
        self.findings = Findings()
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._stop = asyncio.Event()
        self._answers_by_key: dict[str, list[Answer]] = {}
        self._down: set[str] = set()

    async def run(self, seconds: float) -> Findings:
        """Inject faults for a time, let the system recover, and check it.

        Returns the findings. ``seconds`` is the time with faults.
        """
        callers = [
            asyncio.create_task(self._ask_until_stopped(index))
            for index in range(4)
        ]
        callers += [
            asyncio.create_task(self._post_until_stopped(index))
            for index in range(3)
        ]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            inject_fault = self._rng.choice(self._list_faults())
            self.findings.faults[inject_fault.__name__.strip('_')] += 1
            await inject_fault()
            await asyncio.sleep(self._rng.uniform(0.2, 2))
        self._stop.set()
        await asyncio.gather(*callers)
        await self._check()
        return self.findings

    def _list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._cut_links,
            self._silence_links,
            self._cut_upstreams,
            self._pause_agent,
            self._pause_entry,
            self._kill_agent,
            self._kill_entry,
            self._stop_service,
            self._lose_replies,
            self._restart_gracefully,
        ]

    async def _cut_links(self) -> None:
        self._cluster.proxies[f'agent-{self._rng.choice(ENGINES)}'].cut()

    async def _silence_links(self) -> None:
        self._cluster.proxies[f'agent-{self._rng.choice(ENGINES)}'].silence()

    async def _cut_upstreams(self) -> None:
        self._cluster.proxies[self._rng.choice(ENGINES)].cut()

    async def _pause_agent(self) -> None:
        await self._pause(f'agent-{self._rng.choice(ENGINES)}')

    async def _pause_entry(self) -> None:
        await self._pause(self._rng.choice(self._cluster.entries))

    async def _kill_agent(self) -> None:
        name = self._rng.choice((*ENGINES, 'book-1'))
        await self._cluster.running[f'agent-{name}'].kill()
        await self._cluster.start_agent(name, self._cluster.proxies[name].url)

    async def _kill_entry(self) -> None:
        name = self._rng.choice(self._cluster.entries)
        await self._cluster.running[name].kill()
        await self._cluster.start_entry(name)

    async def _stop_service(self) -> None:
        await self._set_faults(down=True)
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        await self._set_faults(down=False)

    async def _lose_replies(self) -> None:
        await self._set_faults(lose_replies=3, lose_prefix='claims')

    async def _restart_gracefully(self) -> None:
        name = self._rng.choice(self._cluster.entries)
        self._cluster.running[name].signal(signal.SIGTERM)
        await self._cluster.running[name].wait()
        await self._cluster.start_entry(name)

    async def _pause(self, name: str) -> None:
        running = self._cluster.running[name]
        running.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 5))
        running.signal(signal.SIGCONT)

    async def _set_faults(self, **faults: object) -> None:
        url = f'{self._cluster.urls["keyvalue"]}/faults'
        await self._cluster.session.post(url, json=faults)

    async def _ask_until_stopped(self, index: int) -> None:
        number = 0
        while not self._stop.is_set():
            model = MODELS[(index + number) % len(MODELS)]
            prompt = f'chaos {index} {number}'
            url = self._entry_url(index + number)
            number += 1
            try:
                answer = await ask(self._cluster.session, url, model, prompt)
            except (aiohttp.ClientError, OSError):
                self.findings.cut += 1
                await asyncio.sleep(0.1)
                continue
            self._check_answer(answer, expected_text(model, prompt))

    def _check_answer(self, answer: Answer, expected: str) -> None:
        if not answer.error:
            self.findings.answers += 1
            if answer.text != expected:
                self.findings.violations.append(f'wrong answer: {answer.text}')
            return
        if not expected.startswith(answer.text):
            self.findings.violations.append(
                f'not a prefix of the expected answer: {answer.text}'
            )
        if answer.not_run:
            self.findings.refused += 1
        elif answer.error.get('code') == 'cut':
            self.findings.cut += 1
        else:
            self.findings.unknown += 1

    async def _post_until_stopped(self, index: int) -> None:
        number = 0
        while not self._stop.is_set():
            key = f'chaos-{index}-{number}'
            number += 1
            self.findings.postings += 1
            for attempt in range(_MAX_POST_ATTEMPTS):
                answer = await self._post(key, index + number + attempt)
                if answer.status == 201:
                    break
                await asyncio.sleep(0.3)

    async def _post(self, key: str, entry_index: int) -> Answer:
        key_answers = self._answers_by_key.setdefault(key, [])
        try:
            answer = await post(
                self._cluster.session, self._entry_url(entry_index), key
            )
        except (aiohttp.ClientError, OSError):
            answer = Answer(0, '')
        key_answers.append(answer)
        return answer

    def _entry_url(self, entry_index: int) -> str:
        entries = self._cluster.entries
        return self._cluster.urls[entries[entry_index % len(entries)]]

    async def _check(self) -> None:
        await self._set_faults(down=False, lose_replies=0)
        try:
            await self._cluster.wait_reachable(RECOVERY_LIMIT_S)
        except TimeoutError:
            self.findings.violations.append(
                'a model or an upstream is unreachable after the recovery limit'
            )
        url = f'{self._cluster.urls["book-1"]}/postings'
        async with self._cluster.session.get(url) as response:
            counts = await response.json()
        for key, key_answers in self._answers_by_key.items():
            self._check_key(key, key_answers, counts.get(key, 0))
        for name in ENGINES:
            state = f'{self._cluster.urls[name]}/admin/state'
            async with self._cluster.session.get(state) as response:
                if (
                    response.status != 200
                    or (await response.json())['overcommits']
                ):
                    self.findings.violations.append(f'{name} overcommitted')

    def _check_key(
        self, key: str, key_answers: list[Answer], count: int
    ) -> None:
        if count > 1:
            self.findings.violations.append(f'{key} ran {count} times')
        if count and all(answer.not_run for answer in key_answers):
            self.findings.violations.append(
                f'{key} ran, but every answer was "not run"'
            )
        if not count and any(answer.status == 201 for answer in key_answers):
            self.findings.violations.append(
                f'{key} was answered with 201, but never ran'
            )
