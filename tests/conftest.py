"""Fixture that runs a small deployment."""

from collections.abc import AsyncIterator

import pytest_asyncio

from bramleybeam.demo import DemoCluster, DemoOptions
from tests.documents import make_document


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[DemoCluster]:
    """Run two entries, three engines and a ledger; all models reachable."""
    options = DemoOptions(zones=('east', 'west'), time_scale=0.1)
    running = DemoCluster(make_document(), options)
    await running.start()
    try:
        await running.wait_reachable(60)
        yield running
    finally:
        await running.close()
