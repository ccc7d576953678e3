"""How the demo that serves callers is stopped."""

import asyncio
import os
import signal

import attrs
import pytest

from bramleybeam.demo import _command


@attrs.frozen
class StubCluster:
    """A cluster of which only the address is used."""

    urls: tuple[str, ...] = ('http://127.0.0.1:1',)


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
async def test_demo_can_be_stopped_from_the_moment_its_address_is_printed(
    monkeypatch, number
):
    """A signal at that line ended the process with the signal's status."""
    handlers_at_print = []

    def stop_when_printed(_line):
        handlers_at_print.append(signal.getsignal(number))
        if handlers_at_print[0] not in {
            signal.SIG_DFL,
            signal.default_int_handler,
        }:
            os.kill(os.getpid(), number)

    monkeypatch.setattr(_command.click, 'echo', stop_when_printed)
    async with asyncio.timeout(5):
        await _command._serve_until_stopped(StubCluster())
    assert len(handlers_at_print) == 1
