"""HTTP port of the stand-ins for the platform's store and replicas."""

import asyncio
import threading
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from bramleybeam.relay import CallerServer


@attrs.define(kw_only=True)
class PortStandIn:
    """Listens on a free loopback port; ``_answer`` handles requests."""

    _server: CallerServer | None = None

    async def start(self) -> None:
        """Open a port."""
        self._server = CallerServer('127.0.0.1:0', self._answer)
        await self._server.start()

    async def close(self) -> None:
        """Close the port."""
        await self._server.close(0)

    @property
    def address(self) -> str:
        """Address that it listens on, ``IP:PORT``."""
        return self._server.address


@asynccontextmanager
async def run_in_a_thread(stand_in: PortStandIn) -> AsyncIterator[PortStandIn]:
    """Run a stand-in that answers while the test's event loop does not run."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(stand_in.start(), loop).result()
    try:
        yield stand_in
    finally:
        asyncio.run_coroutine_threadsafe(stand_in.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


@asynccontextmanager
async def overload_event_loop(pass_s: float) -> AsyncIterator[None]:
    """Let each pass of the test's event loop take ``pass_s`` seconds."""

    async def overload() -> None:
        while True:
            time.sleep(pass_s)
            await asyncio.sleep(0)

    overloaded = asyncio.create_task(overload())
    try:
        yield
    finally:
        overloaded.cancel()
