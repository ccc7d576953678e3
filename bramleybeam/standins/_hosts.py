"""The platform's list of live and leaving hosts, which shows changes late."""

import asyncio

import attrs
from blacksheep import Application, Request, Response

from bramleybeam.web import add_route, json_response, make_app, read_json


@attrs.frozen
class HostRecord:
    """A bramleybeam process on a host, as the platform lists it."""

    name: str
    role: str
    address: str
    zone: str
    upstream: str = ''
    state: str = 'live'


class HostListStandIn:
    """Serves a list of hosts that shows each change ``lag`` seconds later."""

    def __init__(self, lag: float = 0.2) -> None:
        """Create an empty list."""
        self._lag = lag
        self._listed: dict[str, HostRecord] = {}

    def make_app(self) -> Application:
        """Return the application that serves the list."""
        app = make_app()
        add_route(app, 'GET', '/v1/hosts', self._list)
        add_route(app, 'PUT', '/v1/hosts', self._put)
        add_route(app, 'DELETE', '/v1/hosts', self._delete)
        return app

    def put(self, record: HostRecord) -> None:
        """Add or change a host; the list shows it after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._lag, self._listed.__setitem__, record.name, record
        )

    def remove(self, name: str) -> None:
        """Remove a host; the list omits it after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag, self._listed.pop, name, None)

    async def _list(self, _request: Request) -> Response:
        hosts = [attrs.asdict(record) for record in self._listed.values()]
        return json_response(200, {'hosts': hosts})

    async def _put(self, request: Request) -> Response:
        self.put(HostRecord(**await read_json(request)))
        return json_response(200, {})

    async def _delete(self, request: Request) -> Response:
        body = await read_json(request)
        self.remove(body['name'])
        return json_response(200, {})
