"""Asks replicas which start of which replica they are.

A report states when the replica started, and needs no slot. Plain services have no
report; their health check states the name, and waits for a slot or is refused.
"""

import json
from typing import Final

import structlog

from bramleybeam.catalog import Replica, Service
from bramleybeam.liveness import Peer, ProcessIdentity, Query, Statement
from bramleybeam.platform._requests import EXPECT_INSTANCE, MISDIRECTED
from bramleybeam.relay import Headers, ReplyHead, find_header

_INSTANCE: Final = b'bramleybeam-instance-id'
_OK: Final = 200
_REPORT_ERRORS: Final = (ValueError, AttributeError, RecursionError)
_log = structlog.get_logger('platform')


def identify_replica(replica: Replica, service: Service) -> Peer:
    """Return a replica as a peer that can be asked who it is."""
    path = service.health_path if service.engine is None else '/api/report'
    headers: Headers = (
        (b'Host', replica.address.encode()),
        (EXPECT_INSTANCE, replica.name.encode()),
    )
    query = Query(
        f'GET {path} HTTP/1.1'.encode('latin-1', 'replace'),
        headers,
        _decode_statement,
    )
    identity = ProcessIdentity(replica.name, replica.started_ms)
    return Peer(replica.address, identity, query)


def _decode_statement(head: ReplyHead, body: bytes) -> Statement:
    """Return what a health answer or a report states."""
    name = find_header(head.headers, _INSTANCE) or b''
    return Statement(
        name.decode('latin-1').strip(),
        _started_ms(body) if head.status == _OK else 0,
        is_other=head.status == MISDIRECTED,
    )


def _started_ms(body: bytes) -> int:
    """Return the start time in a report, 0 if there is none."""
    if not body:
        return 0
    try:
        started_ms = json.loads(body).get('born', 0)
    except _REPORT_ERRORS as error:
        _log.warning('report_unreadable', error=type(error).__name__)
        return 0
    is_time = isinstance(started_ms, int) and not isinstance(started_ms, bool)
    return max(0, started_ms) if is_time else 0
