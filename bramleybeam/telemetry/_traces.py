"""Trace spans for each hop; W3C traceparent connects them."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Span, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import SpanKind, Status, StatusCode
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from bramleybeam.checks import OneOf, Url, parameter


@attrs.frozen
class TracingSettings:
    """Settings of the span exporter."""

    exporter: str = parameter(
        'Where spans go.',
        OneOf(('none', 'jsonl', 'otlp')),
        default='none',
    )
    path: str = parameter(
        'File for JSON lines; "-" is standard error.',
        default='-',
    )
    endpoint: str = parameter(
        'OTLP collector, for the exporter "otlp".',
        Url(optional=True),
        default='',
    )


class JsonLinesExporter(SpanExporter):
    """Appends each finished span to a file as a line of JSON."""

    def __init__(self, path: str) -> None:
        """Store the path; "-" stands for standard error."""
        self._path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append the spans to the file; always returns ``SUCCESS``."""
        lines = ''.join(f'{_format_span(span)}\n' for span in spans)
        if self._path == '-':
            sys.stderr.write(lines)
        else:
            with Path(self._path).open('a') as output:
                output.write(lines)
        return SpanExportResult.SUCCESS


class Tracing:
    """Starts and ends the spans of one process and propagates their context.

    ``enabled`` is whether spans are exported at all.
    """

    def __init__(self, process: str, settings: TracingSettings) -> None:
        """Create the tracer provider and the exporter from the settings."""
        self._provider = TracerProvider(
            resource=Resource.create({'service.name': process}),
        )
        self._propagator = TraceContextTextMapPropagator()
        self.enabled = settings.exporter != 'none'
        match settings.exporter:
            case 'jsonl':
                self._provider.add_span_processor(
                    SimpleSpanProcessor(JsonLinesExporter(settings.path)),
                )
            case 'otlp':
                self._provider.add_span_processor(
                    BatchSpanProcessor(_make_otlp_exporter(settings.endpoint)),
                )
        self._tracer = self._provider.get_tracer('bramleybeam')

    def start(
        self, name: str, traceparent: str, *, server: bool
    ) -> Span | None:
        """Start a span and return it, or ``None`` when tracing is disabled.

        ``traceparent`` identifies its parent; the span starts a new trace if
        it is empty. ``server`` selects the span kind server or client.
        """
        if not self.enabled:
            return None
        carrier = {'traceparent': traceparent} if traceparent else {}
        context = self._propagator.extract(carrier)
        kind = SpanKind.SERVER if server else SpanKind.CLIENT
        span = self._tracer.start_span(name, context=context, kind=kind)
        return span if isinstance(span, Span) else None

    def traceparent(self, span: Span | None, fallback: str = '') -> str:
        """Return the traceparent header for requests made within ``span``.

        Returns ``fallback`` when ``span`` is ``None``.
        """
        if span is None:
            return fallback
        context = span.get_span_context()
        flags = int(context.trace_flags)
        return f'00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}'

    def finish(self, span: Span | None, error: str = '') -> None:
        """End a span, with an error status if ``error`` is not empty."""
        if span is None:
            return
        if error:
            span.set_status(Status(StatusCode.ERROR, error))
        span.end()

    def close(self) -> None:
        """Export the remaining spans and shut the provider down."""
        self._provider.shutdown()


def _make_otlp_exporter(endpoint: str) -> SpanExporter:
    """Return an OTLP exporter; it is imported only if tracing uses it."""
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (  # noqa: PLC0415
        OTLPSpanExporter,
    )

    return OTLPSpanExporter(endpoint=f'{endpoint}/v1/traces')


def _format_span(span: ReadableSpan) -> str:
    """Return a span as a JSON object."""
    context = span.get_span_context()
    parent = f'{span.parent.span_id:016x}' if span.parent else ''
    return json.dumps(
        {
            'span': span.name,
            'process': span.resource.attributes.get('service.name'),
            'trace_id': f'{context.trace_id:032x}' if context else '',
            'span_id': f'{context.span_id:016x}' if context else '',
            'parent_id': parent,
            'start_ns': span.start_time,
            'end_ns': span.end_time,
            'attributes': dict(span.attributes or {}),
            'status': span.status.status_code.name,
        }
    )
