"""Routes requests of an application to bound methods."""

from collections.abc import Awaitable, Callable

from blacksheep import Application, Request, Response
from blacksheep.server.routing import Router

Handler = Callable[[Request], Awaitable[Response]]


def make_app() -> Application:
    """Return an application that does not share the global router."""
    return Application(router=Router())


def add_route(
    app: Application,
    method: str,
    path: str,
    handler: Handler,
) -> None:
    """Route ``method`` and ``path`` to a function or bound method.

    blacksheep sets an attribute on each handler, which bound methods don't
    support. Therefore the handler is wrapped in a function.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)
