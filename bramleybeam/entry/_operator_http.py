"""HTTP for operators of an entry: status, explain and metrics."""

import hmac
from typing import Any

import attrs
from blacksheep import Application, Request, Response

from bramleybeam.entry._view import EntryView
from bramleybeam.errors import ErrorKind, refuse
from bramleybeam.web import (
    Handler,
    add_route,
    json_response,
    make_app,
    text_response,
)


def make_operator_app(entry: EntryView) -> Application:
    """Return the application for operators and the metrics collector."""
    app = make_app()
    api = _OperatorApi(entry)
    add_route(app, 'GET', '/status', api.require_key(api.status))
    add_route(app, 'GET', '/explain/:name', api.require_key(api.explain))
    add_route(app, 'GET', '/metrics', api.metrics)
    return app


class _OperatorApi:
    def __init__(self, entry: EntryView) -> None:
        self._entry = entry
        self._keys = [
            pair.partition(':')[2].encode()
            for pair in entry.settings.operator_keys
        ]

    def require_key(self, handler: Handler) -> Handler:
        """Return a handler that requires an operator key, if any is set."""

        async def checked(request: Request) -> Response:
            if self._keys and not self._has_valid_key(request):
                refusal = refuse(ErrorKind.UNAUTHENTICATED)
                return json_response(
                    refusal.status,
                    {'error': refusal.message, 'remedy': refusal.remedy},
                )
            return await handler(request)

        return checked

    async def status(self, _request: Request) -> Response:
        """Respond with revisions, upstreams, counts and shards."""
        return json_response(200, make_status(self._entry))

    async def explain(self, request: Request) -> Response:
        """Respond with a request's record or the placement of a model.

        A name that is neither is answered with status 404.
        """
        name = str((request.route_values or {}).get('name', ''))
        record = self._entry.statistics.find(name)
        if record is not None:
            return json_response(200, {'request': attrs.asdict(record)})
        model = explain_model(self._entry, name)
        if model is not None:
            return json_response(200, {'model': model})
        return json_response(
            404,
            {
                'error': f'{name} is neither a model nor a recent request here',
                'remedy': 'Ask the entry whose logs name the request.',
            },
        )

    async def metrics(self, _request: Request) -> Response:
        """Respond with the metrics in text format."""
        entry = self._entry
        entry.metrics.set_state(
            links=len(entry.connections.links),
            revision=entry.keeper.revision,
            moves=entry.planner.moves,
            dropped_frames=entry.connections.dropped_frames,
        )
        callers = entry.caller_limits.budget
        entry.metrics.show_held(
            {**callers.budget.sum_held(), 'limit': callers.budget.limit_bytes},
            callers.closed,
        )
        return text_response(200, entry.metrics.render().decode())

    def _has_valid_key(self, request: Request) -> bool:
        header = request.headers.get_first(b'authorization') or b''
        key = header.removeprefix(b'Bearer ')
        return any(
            hmac.compare_digest(key, valid_key) for valid_key in self._keys
        )


def make_status(entry: EntryView) -> dict[str, Any]:
    """Return the state of the system as this entry sees it.

    It is the body of ``/status``; ``plan_ms`` is in milliseconds.
    """
    applied = entry.keeper.applied
    document = entry.keeper.document
    upstreams = [
        {
            'name': view.name,
            'zone': view.zone,
            'usable': entry.directory.is_usable(view),
            'leaving': view.leaving,
            'in_flight': view.in_flight,
            'models': [
                f'{artifact.name}:{artifact.state}'
                for artifact in view.artifacts
                if artifact.kind == 'model'
            ],
        }
        for view in entry.directory
    ]
    models = [model.name for model in document.models] if document else []
    ready = entry.directory.ready_models()
    revisions = {
        link.peer.process: link.peer.revision
        for link in entry.connections.links
    }
    revisions[entry.identity.process] = entry.keeper.revision
    return {
        'entry': entry.identity.process,
        'revision': entry.keeper.revision,
        'applied_by': applied.applied_by if applied else None,
        'revisions': revisions,
        'classes': {
            name: attrs.asdict(counts)
            for name, counts in entry.statistics.class_counts.items()
        },
        'models': len(models),
        'unreachable': [name for name in models if name not in ready],
        'upstreams': upstreams,
        'shards': entry.planner.held_shards,
        'plan_ms': entry.planner.plan_ms,
        'moves': entry.planner.moves,
        'in_flight': entry.dispatcher.in_flight,
        'bytes': entry.connections.count_bytes(),
        'keyvalue_calls': entry.store.calls,
        'reattached': entry.dispatcher.reattached,
        'retried': entry.dispatcher.retried,
        'claim_writes': entry.claims.writes,
        'claims_committed': entry.claims.committed,
        'dropped_frames': entry.connections.dropped_frames,
    }


def explain_model(entry: EntryView, name: str) -> dict[str, Any] | None:
    """Return the copies of a model or adapter and the last order for it.

    Returns ``None`` if the name is not configured.
    """
    document = entry.keeper.document
    if document is None:
        return None
    configured = {**document.models_by_name, **document.adapters_by_name}
    if name not in configured:
        return None
    last_order = entry.planner.last_orders.get(name)
    return {
        'name': name,
        'copies': {
            view.name: view.state_of(name)
            for view in entry.directory
            if view.state_of(name)
        },
        'last_order': attrs.asdict(last_order) if last_order else None,
    }
