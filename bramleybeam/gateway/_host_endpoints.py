"""The ports of a gateway for its host: readiness and metrics."""

from collections.abc import Callable
from http import HTTPStatus

import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings
from bramleybeam.gateway._metrics import METRICS_PATH, GatewayMetrics
from bramleybeam.relay import CallerConnection, CallerServer, InboundRequest

_log = structlog.get_logger('gateway')


class HostEndpoints:
    """Answers the load balancer's readiness checks, and serves metrics."""

    def __init__(
        self,
        settings: HostSettings,
        metrics: GatewayMetrics,
        accepts_requests: Callable[[], bool],
    ) -> None:
        """Store what to answer with.

        ``accepts_requests`` returns whether callers may be sent here.
        """
        self._metrics = metrics
        self._accepts_requests = accepts_requests
        self._has_metrics = bool(settings.metrics_listen)
        self._readiness_server = CallerServer(
            settings.readiness_listen, self._answer_readiness
        )
        self._metrics_server = CallerServer(
            settings.metrics_listen, self._answer_metrics
        )

    @property
    def readiness_address(self) -> str:
        """Address of the readiness check, ``IP:PORT``."""
        return self._readiness_server.address

    async def start(self) -> None:
        """Open the ports; that of the metrics only if it is configured."""
        await self._readiness_server.start()
        if self._has_metrics:
            await self._metrics_server.start()
            _log.info('metrics_served', address=self._metrics_server.address)

    async def close(self) -> None:
        """Close the ports."""
        for server in (self._readiness_server, self._metrics_server):
            await server.close(0)

    async def _answer_readiness(
        self, request: InboundRequest, connection: CallerConnection
    ) -> None:
        if request.path == platform.READINESS_PATH:
            status = (
                HTTPStatus.OK
                if self._accepts_requests()
                else HTTPStatus.SERVICE_UNAVAILABLE
            )
            connection.respond(status, (), b'')
        else:
            connection.respond(HTTPStatus.NOT_FOUND, (), b'')

    async def _answer_metrics(
        self, request: InboundRequest, connection: CallerConnection
    ) -> None:
        if request.path == METRICS_PATH:
            headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
            connection.respond(HTTPStatus.OK, headers, self._metrics.render())
        else:
            connection.respond(HTTPStatus.NOT_FOUND, (), b'')
