"""Finds out whether a peer still accepts connections."""

import asyncio
from enum import StrEnum
from typing import Final

import attrs

from bramleybeam.relay._peer_connection import connect_peer

# Time after the end of a connection until a new one is tried, how often it is
# tried while the outcome is unclear, and the pause between. The system closes the
# port of a process that ends within the first of them.
SETTLE_S: Final = 0.02
_TRIES: Final = 3
_PAUSE_S: Final = 0.25
_CONNECT_TIMEOUT_S: Final = 0.3


class Liveness(StrEnum):
    """Whether a peer lives; ``UNCLEAR`` if it neither accepts nor refuses."""

    ALIVE = 'alive'
    GONE = 'gone'
    UNCLEAR = 'unclear'


@attrs.frozen
class Observation:
    """What was found out by a connection that was begun at ``seen_at``.

    ``seen_at`` is by the clock of the event loop, in seconds. ``error`` is why
    the outcome is unclear.
    """

    liveness: Liveness
    seen_at: float
    error: str = ''


async def observe_peer(address: str) -> Observation:
    """Try to connect to ``IP:PORT`` until the outcome is clear."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(SETTLE_S)
    for _ in range(_TRIES):
        observation = await _observe_once(address, loop.time())
        if observation.liveness != Liveness.UNCLEAR:
            break
        await asyncio.sleep(_PAUSE_S)
    return observation


async def _observe_once(address: str, now: float) -> Observation:
    try:
        connection = await connect_peer(address, _CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return Observation(Liveness.GONE, now)
    except (OSError, TimeoutError) as error:
        return Observation(Liveness.UNCLEAR, now, repr(error))
    connection.close()
    return Observation(Liveness.ALIVE, now)
