"""A plain HTTP service that counts how often each key was posted."""

import asyncio
from collections import Counter

from blacksheep import Application, Request, Response

from bramleybeam.web import add_route, json_response, make_app, read_json


class LedgerStandIn:
    """Counts the postings of each key, so that tests see duplicate runs."""

    def __init__(self, delay: float = 0) -> None:
        """Create an empty ledger; each posting takes ``delay`` seconds."""
        self.delay = delay
        self.posts: Counter[str] = Counter()

    def make_app(self) -> Application:
        """Return the application that serves the ledger."""
        app = make_app()
        add_route(app, 'POST', '/postings', self._post)
        add_route(app, 'GET', '/postings', self._list)
        add_route(app, 'GET', '/health', self._health)
        return app

    async def _post(self, request: Request) -> Response:
        body = await read_json(request)
        key = str(body['key'])
        self.posts[key] += 1
        number = sum(self.posts.values())
        await asyncio.sleep(self.delay)
        return json_response(201, {'key': key, 'number': number})

    async def _list(self, _request: Request) -> Response:
        return json_response(200, dict(self.posts))

    async def _health(self, _request: Request) -> Response:
        return json_response(200, {'ready': True})
