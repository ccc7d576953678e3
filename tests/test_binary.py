"""Test that the binary serves a deployment as a single process."""

import asyncio
import os
import signal
from pathlib import Path

import psutil
import pytest

BINARY = Path('build/bramleybeam').resolve()
EXAMPLE = Path('examples/permit-office/deployment.toml').resolve()


@pytest.mark.skipif(not BINARY.exists(), reason='run "make binary" first')
async def test_the_binary_serves_as_one_process(tmp_path):
    """The example deployment starts, and the binary has no child processes.

    SIGTERM ends it with exit code 0.
    """
    environment = {**os.environ, 'SHIV_ROOT': str(tmp_path)}
    process = await asyncio.create_subprocess_exec(
        str(BINARY), 'demo', '--serve', '--listen', '127.0.0.1:0', str(EXAMPLE),
        env=environment,
        stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        async with asyncio.timeout(120):
            while True:
                line = await process.stdout.readline()
                assert line, 'the binary ended before it listened for callers'
                if b'callers:' in line:
                    break
        assert not psutil.Process(process.pid).children(recursive=True)
    finally:
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
