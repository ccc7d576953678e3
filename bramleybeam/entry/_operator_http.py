"""Operators' HTTP of an entry: status, explain and metrics."""

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
    """Make the application that operators and the metrics reader use."""
    app = make_app()
    api = _OperatorApi(entry)
    add_route(app, 'GET', '/status', api.guard(api.status))
    add_route(app, 'GET', '/explain/:name', api.guard(api.explain))
    add_route(app, 'GET', '/metrics', api.metrics)
    return app


class _OperatorApi:
    def __init__(self, entry: EntryView) -> None:
        self._entry = entry
        self._keys = [
            pair.partition(':')[2].encode()
            for pair in entry.settings.operator_keys
        ]

    def guard(self, handler: Handler) -> Handler:
        """Ask for an operator's key where keys are set."""

        async def guarded(request: Request) -> Response:
            if self._keys and not self._is_known(request):
                refusal = refuse(ErrorKind.UNAUTHENTICATED)
                return json_response(
                    refusal.status,
                    {'error': refusal.message, 'remedy': refusal.remedy},
                )
            return await handler(request)

        return guarded

    async def status(self, _request: Request) -> Response:
        """Tell revisions, upstreams, tallies and shards."""
        return json_response(200, make_status(self._entry))

    async def explain(self, request: Request) -> Response:
        """Tell of a request, or of where a model stands and why."""
        name = str((request.route_values or {}).get('name', ''))
        trail = self._entry.account.find(name)
        if trail is not None:
            return json_response(200, {'request': attrs.asdict(trail)})
        model = explain_model(self._entry, name)
        if model is not None:
            return json_response(200, {'model': model})
        return json_response(
            404,
            {
                'error': f'{name} is neither a model nor a recent request here',
                'remedy': 'Ask the entry that answered, named in its logs.',
            },
        )

    async def metrics(self, _request: Request) -> Response:
        """Render the metrics."""
        entry = self._entry
        entry.metrics.set_state(
            links=len(entry.connections.links),
            revision=entry.keeper.revision,
            moves=entry.planner.moves,
            dropped_frames=entry.connections.dropped_frames,
        )
        return text_response(200, entry.metrics.render().decode())

    def _is_known(self, request: Request) -> bool:
        sent = request.headers.get_first(b'authorization') or b''
        key = sent.removeprefix(b'Bearer ')
        return any(hmac.compare_digest(key, known) for known in self._keys)


def make_status(entry: EntryView) -> dict[str, Any]:
    """Describe the system as this entry sees it."""
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
            name: attrs.asdict(tally)
            for name, tally in entry.account.tallies.items()
        },
        'models': len(models),
        'unreachable': [name for name in models if name not in ready],
        'upstreams': upstreams,
        'shards': entry.planner.held,
        'plan_ms': entry.planner.plan_ms,
        'moves': entry.planner.moves,
        'in_flight': entry.deliver.in_flight,
        'bytes': entry.connections.count_bytes(),
        'keyvalue_calls': entry.store.calls,
        'reattached': entry.deliver.reattached,
        'retried': entry.deliver.retried,
        'claim_writes': entry.claims.writes,
        'claims_committed': entry.claims.committed,
        'dropped_frames': entry.connections.dropped_frames,
    }


def explain_model(entry: EntryView, name: str) -> dict[str, Any] | None:
    """Tell where a model or adapter stands, and the last order for it."""
    document = entry.keeper.document
    if document is None:
        return None
    known = {**document.models_by_name, **document.adapters_by_name}
    if name not in known:
        return None
    reason = entry.planner.reasons.get(name)
    return {
        'name': name,
        'copies': {
            view.name: view.state_of(name)
            for view in entry.directory
            if view.state_of(name)
        },
        'last_order': attrs.asdict(reason) if reason else None,
    }
