"""HTTP endpoints for liveness, readiness and metrics of an agent."""

from collections.abc import Sequence
from typing import Protocol

from blacksheep import Application, Request, Response

from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.links import Link
from bramleybeam.telemetry import Metrics
from bramleybeam.web import add_route, json_response, make_app, text_response


class AgentView(Protocol):
    """The attributes of an agent that the health endpoints read."""

    keeper: ConfigurationKeeper
    executor: OrderExecutor
    metrics: Metrics

    @property
    def links(self) -> Sequence[Link]:
        """Open links from entries."""

    @property
    def leaving(self) -> bool:
        """Whether this agent is shutting down and refuses new requests."""


def make_health_app(agent: AgentView) -> Application:
    """Create the application with the health checks and the metrics."""

    async def live(_request: Request) -> Response:
        return json_response(200, {'live': True})

    async def ready(_request: Request) -> Response:
        is_ready = agent.executor.healthy and not agent.leaving
        body = {'ready': is_ready, 'revision': agent.keeper.revision}
        return json_response(200 if is_ready else 503, body)

    async def metrics(_request: Request) -> Response:
        agent.metrics.set_state(
            links=len(agent.links),
            revision=agent.keeper.revision,
        )
        return text_response(200, agent.metrics.render().decode())

    app = make_app()
    add_route(app, 'GET', '/live', live)
    add_route(app, 'GET', '/ready', ready)
    add_route(app, 'GET', '/metrics', metrics)
    return app
