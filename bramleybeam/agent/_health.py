"""Liveness, readiness and metrics of an agent."""

from typing import TYPE_CHECKING

from blacksheep import Application, Request, Response

from bramleybeam.web import add_route, json_response, make_app, text_response

if TYPE_CHECKING:
    from bramleybeam.agent._daemon import AgentDaemon


def make_health_app(agent: 'AgentDaemon') -> Application:
    """Make the application for the platform's checks and the metrics."""

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
