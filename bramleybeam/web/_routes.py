"""Adds bound methods as handlers."""

from collections.abc import Awaitable, Callable

from blacksheep import Application, Request, Response
from blacksheep.server.routing import Router

Handler = Callable[[Request], Awaitable[Response]]


def make_app() -> Application:
    """Make an application with a router of its own."""
    return Application(router=Router())


def add_route(
    app: Application,
    method: str,
    path: str,
    handler: Handler,
) -> None:
    """Route ``method`` and ``path`` to a function or bound method.

    blacksheep marks handlers with an attribute, which a bound method does
    not take; the function made here does.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)
