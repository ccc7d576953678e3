"""Typed frames; ``frames.thrift`` defines their encoding.

Every frame of a request contains the request id and the attempt, and frames
with content also the offset in tokens. A receiver can therefore drop frames
that do not belong to the current attempt.
"""

from pathlib import Path
from typing import Any, ClassVar, Final

import attrs
import thriftpy2

_SCHEMA: Final = thriftpy2.load(
    str(Path(__file__).with_name('frames.thrift')),
    module_name='bramleybeam_frames_thrift',
)


class FrameError(Exception):
    """A peer sent bytes that are not a valid frame; the link is closed."""


class Frame:
    """Base class of all frames; ``thrift_spec`` comes from the schema."""

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]]

    def __init_subclass__(cls) -> None:
        """Set the field numbers and types from ``frames.thrift``."""
        cls.thrift_spec = getattr(_SCHEMA, cls.__name__).thrift_spec


@attrs.define(slots=False)
class Hello(Frame):
    """First frame in each direction: the sender's identity and revision."""

    process: str = ''
    role: str = ''
    zone: str = ''
    incarnation: str = ''
    protocol: int = 1
    key: str = ''
    revision: int = 0
    leaving: bool = False
    address: str = ''


@attrs.define(slots=False)
class Heartbeat(Frame):
    """Keeps the link open; reports the sender's revision and shutdown state."""

    revision: int = 0
    leaving: bool = False


@attrs.define(slots=False)
class Dispatch(Frame):
    """Sends one attempt of a request to the agent of an upstream.

    ``credit`` is the number of chunks that the agent may send before it
    receives more credit. ``alone`` means that no other request may run on the
    upstream at the same time.
    """

    request_id: str = ''
    attempt: int = 0
    kind: str = ''
    target: str = ''
    path: str = ''
    method: str = ''
    body: bytes = b''
    resume_from: int = 0
    deadline_ms: int = 0
    priority: int = 0
    class_name: str = ''
    idempotent: bool = False
    traceparent: str = ''
    credit: int = 0
    headers: str = ''
    base_model: str = ''
    alone: bool = False
    fingerprint: str = ''


@attrs.define(slots=False)
class Accepted(Frame):
    """The agent is sending the request to its upstream."""

    request_id: str = ''
    attempt: int = 0


@attrs.define(slots=False)
class Refused(Frame):
    """States that the attempt has not run and will not run."""

    request_id: str = ''
    attempt: int = 0
    kind: str = ''
    message: str = ''
    retry_after_ms: int = 0


@attrs.define(slots=False)
class Chunk(Frame):
    """Content of ``count`` tokens that starts at ``offset`` tokens."""

    request_id: str = ''
    attempt: int = 0
    offset: int = 0
    count: int = 0
    body: bytes = b''


@attrs.define(slots=False)
class End(Frame):
    """The response is complete; ``offset`` is its length in tokens."""

    request_id: str = ''
    attempt: int = 0
    offset: int = 0
    finish_reason: str = ''
    prompt_tokens: int = 0
    cached_tokens: int = 0
    status: int = 0
    headers: str = ''


@attrs.define(slots=False)
class Failed(Frame):
    """The attempt ended without a complete response; it may have run."""

    request_id: str = ''
    attempt: int = 0
    offset: int = 0
    kind: str = ''
    message: str = ''
    upstream_crashed: bool = False


@attrs.define(slots=False)
class Credit(Frame):
    """Allows the agent to send ``chunks`` more chunks of an attempt."""

    request_id: str = ''
    attempt: int = 0
    chunks: int = 0


@attrs.define(slots=False)
class Cancel(Frame):
    """Asks the agent to stop an attempt."""

    request_id: str = ''
    attempt: int = 0


@attrs.define(slots=False)
class Notice(Frame):
    """A one-way message of a topic; the body is JSON."""

    topic: str = ''
    body: bytes = b''


@attrs.define(slots=False)
class Call(Frame):
    """A message of a topic that asks for a reply; the body is JSON."""

    call_id: int = 0
    topic: str = ''
    body: bytes = b''


@attrs.define(slots=False)
class Reply(Frame):
    """The reply to a call on the same link."""

    call_id: int = 0
    ok: bool = False
    body: bytes = b''
