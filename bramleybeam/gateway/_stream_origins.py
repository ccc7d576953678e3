"""Which software began the streams that callers may resume.

Handles this load: replicas with several versions of their software serve side by
side, and a stream may go on only at the version that began it. Callers resume
streams at any gateway, also after a loss of all gateways. While the streams of a
service may have begun on several versions, each gateway therefore writes those that
it began to the store (``OriginKeeper``), from which all gateways read them.
"""

import json
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final

import attrs
import structlog
import xxhash

from bramleybeam.catalog import Replica

ORIGIN_PREFIX: Final = 'bramleybeam/streams/'
# Key of the versions that streams may have begun on, besides those listed now.
VERSIONS_KEY: Final = f'{ORIGIN_PREFIX}versions'
# Time in seconds for which a caller may resume a stream that broke off.
RESUMABLE_S: Final = 30.0
# The same for a stream that was sent whole, because its end may not have arrived.
_WHOLE_RESUMABLE_S: Final = 2.0
# Largest number of streams that are remembered; the oldest are dropped first.
_MAX_STREAMS: Final = 4096
_DECODING_ERRORS: Final = (
    ValueError,
    TypeError,
    AttributeError,
    RecursionError,
)
_log = structlog.get_logger('origins')

Record = Mapping[str, Mapping[str, Iterable[str]]]


@attrs.frozen
class StreamOrigin:
    """The service whose replica began a stream, and the replica's software."""

    service: str
    version: str


@attrs.define
class _OwnStream:
    """A stream that this gateway forwards, remembered until ``kept_until``."""

    origin: StreamOrigin
    kept_until: float = math.inf


class StreamOrigins:
    """The streams begun here, those in the store, and the versions in use.

    ``clock`` returns seconds. ``own_key`` is the key in the store under which this
    gateway writes; until it has done so, what is read there was written by an earlier
    process of this host and is kept.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without streams."""
        self.own_key = ''
        self._clock = clock
        self._has_written = False
        self._own: dict[str, _OwnStream] = {}
        self._stored: dict[str, dict[str, StreamOrigin]] = {}
        self._gone: dict[StreamOrigin, float] = {}

    @property
    def store_keys(self) -> tuple[str, ...]:
        """The keys of all records that were read from the store."""
        return tuple(self._stored)

    def note_begun(self, request_id: str, origin: StreamOrigin) -> None:
        """Record the software that a stream has begun on or goes on at.

        ``request_id`` is that of the request that began it.
        """
        self._own[_name_stream(request_id)] = _OwnStream(origin)
        if len(self._own) > _MAX_STREAMS:
            self._own.pop(next(iter(self._own)))

    def note_ended(self, request_id: str, *, is_whole: bool) -> None:
        """Record that a stream is not forwarded any more."""
        own = self._own.get(_name_stream(request_id))
        if own is not None:
            kept_s = _WHOLE_RESUMABLE_S if is_whole else RESUMABLE_S
            own.kept_until = self._clock() + kept_s

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return what a stream has begun on, ``None`` if that is unknown."""
        name = _name_stream(request_id)
        own = self._own.get(name)
        if own is not None:
            return own.origin
        return next(
            (
                streams[name]
                for streams in self._stored.values()
                if name in streams
            ),
            None,
        )

    def note_gone(self, replica: Replica) -> None:
        """Record that a replica has left; streams may have begun there."""
        origin = StreamOrigin(replica.service, replica.software_version)
        self._gone[origin] = self._clock()

    def list_versions(
        self, service: str, replicas: Iterable[Replica]
    ) -> set[str]:
        """Return the versions that resumable streams may have begun on.

        ``replicas`` are all replicas that are listed now.
        """
        gone_after = self._clock() - RESUMABLE_S
        listed = {
            replica.software_version
            for replica in replicas
            if replica.service == service
        }
        left = {
            origin.version
            for origin, gone_at in self._gone.items()
            if origin.service == service and gone_at > gone_after
        }
        return listed | left

    def drop_expired(self) -> None:
        """Forget the streams that no caller resumes any more."""
        now = self._clock()
        for name, own in tuple(self._own.items()):
            if now >= own.kept_until:
                self._own.pop(name)

    def encode_own(self, services: Iterable[str]) -> bytes:
        """Return the record of the streams of some services; empty for none.

        After this call, the record in the store is that of this process.
        """
        self._has_written = True
        record: dict[str, dict[str, list[str]]] = {}
        for name, own in self._own.items():
            origin = own.origin
            if origin.service in services:
                versions = record.setdefault(origin.service, {})
                versions.setdefault(origin.version, []).append(name)
        return encode_record(record) if record else b''

    def update(self, store_key: str, content: bytes) -> None:
        """Read a record of the store."""
        streams = _decode_record(store_key, content)
        self._stored[store_key] = streams
        if store_key == VERSIONS_KEY:
            for origin in streams.values():
                self._gone.setdefault(origin, self._clock())
        elif store_key == self.own_key and not self._has_written:
            kept_until = self._clock() + RESUMABLE_S
            for name, origin in streams.items():
                self._own.setdefault(name, _OwnStream(origin, kept_until))

    def remove(self, store_key: str) -> None:
        """Record that a record was removed from the store."""
        self._stored.pop(store_key, None)


def encode_record(record: Record) -> bytes:
    """Return the names of streams by service and version, as JSON."""
    return json.dumps(record, sort_keys=True).encode()


def _decode_record(key: str, content: bytes) -> dict[str, StreamOrigin]:
    """Return the streams in a record; none if it can't be read."""
    try:
        return dict(_list_streams(json.loads(content)))
    except _DECODING_ERRORS as error:
        _log.warning(
            'stream_record_unreadable', key=key, error=repr(error)[:200]
        )
    return {}


def _list_streams(record: Record) -> Iterator[tuple[str, StreamOrigin]]:
    for service, versions in record.items():
        for version, names in versions.items():
            origin = StreamOrigin(service, version)
            yield from ((name, origin) for name in names)


def _name_stream(request_id: str) -> str:
    return xxhash.xxh64_hexdigest(request_id.encode())
