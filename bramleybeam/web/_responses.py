"""Helpers to read request bodies and create responses."""

import json
from typing import Any

from blacksheep import Content, Request, Response


def json_response(
    status: int,
    body: Any,
    headers: dict[str, str] | None = None,
) -> Response:
    """Return a response with ``body`` as JSON.

    Characters of header values that are not Latin-1 are replaced by "?".
    """
    encoded = [
        (name.encode(), text.encode('latin-1', 'replace'))
        for name, text in (headers or {}).items()
    ]
    content = Content(b'application/json', json.dumps(body).encode())
    return Response(int(status), encoded, content)


def text_response(status: int, text: str) -> Response:
    """Return a plain text response."""
    return Response(int(status), None, Content(b'text/plain', text.encode()))


async def read_json(request: Request) -> Any:
    """Return the parsed JSON body, ``None`` if it is empty.

    Raises ``ValueError`` when the body is not JSON, not valid UTF-8 or nested
    too deeply.
    """
    body = await request.read()
    try:
        return json.loads(body or b'null')
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
