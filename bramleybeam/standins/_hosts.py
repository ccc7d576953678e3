"""The platform's lagging list of live and leaving hosts."""

import asyncio

import attrs
from blacksheep import Application, Request, Response

from bramleybeam.web import add_route, json_response, make_app, read_json


@attrs.frozen
class HostRecord:
    """One process of the system on a host, as the platform lists it."""

    name: str
    role: str
    address: str
    zone: str
    upstream: str = ''
    state: str = 'live'


class HostListStandIn:
    """Shows changes only after ``lag`` seconds."""

    def __init__(self, lag: float = 0.2) -> None:
        """Start with an empty list."""
        self._lag = lag
        self._shown: dict[str, HostRecord] = {}

    def make_app(self) -> Application:
        """Make the application that serves the list."""
        app = make_app()
        add_route(app, 'GET', '/v1/hosts', self._list)
        add_route(app, 'PUT', '/v1/hosts', self._put)
        add_route(app, 'DELETE', '/v1/hosts', self._delete)
        return app

    def put(self, record: HostRecord) -> None:
        """Add or change a host; it shows after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag, self._shown.__setitem__, record.name, record)

    def remove(self, name: str) -> None:
        """Remove a host; it disappears after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag, self._shown.pop, name, None)

    async def _list(self, _request: Request) -> Response:
        hosts = [attrs.asdict(record) for record in self._shown.values()]
        return json_response(200, {'hosts': hosts})

    async def _put(self, request: Request) -> Response:
        self.put(HostRecord(**await read_json(request)))
        return json_response(200, {})

    async def _delete(self, request: Request) -> Response:
        body = await read_json(request)
        self.remove(body['name'])
        return json_response(200, {})
