"""HTTP server for blacksheep applications in the running event loop."""

from bramleybeam.web._budgeted_protocol import CallerLimits
from bramleybeam.web._responses import json_response, read_json, text_response
from bramleybeam.web._routes import Handler, add_route, make_app
from bramleybeam.web._server import HttpServer

__all__ = [
    'CallerLimits',
    'Handler',
    'HttpServer',
    'add_route',
    'json_response',
    'make_app',
    'read_json',
    'text_response',
]
