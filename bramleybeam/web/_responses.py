"""Small helpers to read and answer JSON."""

import json
from typing import Any

from blacksheep import Content, Request, Response


def json_response(
    status: int,
    body: Any,
    headers: dict[str, str] | None = None,
) -> Response:
    """Make a JSON response."""
    encoded = [
        (name.encode(), text.encode('latin-1', 'replace'))
        for name, text in (headers or {}).items()
    ]
    content = Content(b'application/json', json.dumps(body).encode())
    return Response(int(status), encoded, content)


def text_response(status: int, text: str) -> Response:
    """Make a plain text response."""
    return Response(int(status), None, Content(b'text/plain', text.encode()))


async def read_json(request: Request) -> Any:
    """Read a JSON body; raises ``ValueError`` when it is not JSON."""
    body = await request.read()
    try:
        return json.loads(body or b'null')
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
