"""Reads the JSON body of a reply within a limit.

aiohttp limits heads, trailer sections and the size lines of chunks, but not
the body.
"""

import json
from typing import Any, Final

import aiohttp

# A configuration of a megabyte, with each character escaped in JSON.
_MAX_BODY_BYTES: Final = 8 << 20


class ReplyTooLongError(ValueError):
    """The body of a reply exceeds the limit."""


async def read_json_body(response: aiohttp.ClientResponse) -> Any:
    """Return the decoded body of a reply.

    Raises ``ReplyTooLongError`` beyond 8 MiB and ``ValueError`` for a body that
    is not JSON, besides the errors of the connection.
    """
    received = bytearray()
    async for part in response.content.iter_any():
        received += part
        if len(received) > _MAX_BODY_BYTES:
            response.close()
            raise ReplyTooLongError(
                f'the reply exceeds {_MAX_BODY_BYTES} bytes'
            )
    return json.loads(received)
