"""Makes the reference pages from declared constraints and error kinds."""

from collections.abc import Iterator
from typing import Final

from bramleybeam.checks import describe_parameters
from bramleybeam.documents import (
    Adapter,
    Deployment,
    Model,
    Upstream,
    WorkClass,
)
from bramleybeam.errors import ErrorKind, describe_kind
from bramleybeam.settings import (
    AgentSettings,
    ClientSettings,
    EntrySettings,
    TlsSettings,
)
from bramleybeam.telemetry import TracingSettings

_SECTIONS: Final = (
    ('Settings of an entry', EntrySettings),
    ('Settings of an agent', AgentSettings),
    ('Settings of ctl', ClientSettings),
    ('Table [tls], and [caller_tls] of an entry', TlsSettings),
    ('Table [tracing]', TracingSettings),
    ('Document: [deployment]', Deployment),
    ('Document: [[classes]]', WorkClass),
    ('Document: [[models]]', Model),
    ('Document: [[adapters]]', Adapter),
    ('Document: [[upstreams]]', Upstream),
)


def make_reference(page: str) -> str:
    """Return the page ``settings`` or ``errors`` as Markdown."""
    lines = _list_settings() if page == 'settings' else _list_errors()
    return '\n'.join(lines) + '\n'


def _list_settings() -> Iterator[str]:
    yield '# Settings and documents'
    yield ''
    yield 'Made by `bramleybeam ctl reference settings`. All files are TOML.'
    yield 'Parameters without a default have to be set.'
    for title, settings_type in _SECTIONS:
        yield ''
        yield f'## {title}'
        yield ''
        yield '| parameter | meaning | allowed | default |'
        yield '| --- | --- | --- | --- |'
        for row in describe_parameters(settings_type):
            # A nested table has a factory as its default; it is left out.
            default = '' if 'Factory' in row.default else row.default
            yield f'| {row.name} | {row.meaning} | {row.allowed} | {default} |'


def _list_errors() -> Iterator[str]:
    yield '# Error kinds'
    yield ''
    yield 'Made by `bramleybeam ctl reference errors`. Every refusal carries'
    yield 'its kind in `error.code`, and in `error.execution` whether the'
    yield 'request ran: `not_run`, `outcome_unknown` or `already_ran`.'
    yield ''
    yield '| kind | status | meaning | remedy |'
    yield '| --- | --- | --- | --- |'
    for kind in ErrorKind:
        row = describe_kind(kind)
        yield f'| {kind} | {row.status:d} | {row.meaning} | {row.remedy} |'
