"""Reference pages made from declared constraints and error kinds."""

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
    """Make the page ``settings`` or ``errors`` as Markdown."""
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
        for one in describe_parameters(settings_type):
            default = '' if 'Factory' in one.default else one.default
            yield f'| {one.name} | {one.meaning} | {one.allowed} | {default} |'


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
        one = describe_kind(kind)
        yield f'| {kind} | {one.status:d} | {one.meaning} | {one.remedy} |'
