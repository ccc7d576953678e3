"""Measures how long decoding the largest inputs blocks the event loop::

python -m benchmarks.hostile
"""

import json
import time
from collections.abc import Callable
from typing import Final

import click

from benchmarks.capacity import make_large_document
from bramleybeam.documents import Applied, decode_applied, encode_applied
from bramleybeam.entry._openai import parse_body
from bramleybeam.links import Chunk, FrameDecoder, FrameError, encode_frame
from bramleybeam.messages import MessageError, Report, decode
from bramleybeam.operators import format_table

_BODY_BYTES: Final = 512_000
_FRAME_BYTES: Final = 1_000_000
_REPEATS: Final = 5
_MILLISECONDS: Final = 1000
# A frame body with a container field, which ``FrameDecoder`` refuses: the bare
# Thrift decoder takes 6 s for these 44 bytes.
_CONTAINER_BOMB: Final = bytes.fromhex(
    '0d0de244943ee499ca0001b85bd1b784614418616581eb0503df241f23077054'
    'c083d658d16ab2230cd2071d',
)


def decode_frames(received: bytes) -> None:
    """Decode bytes as frames, under the size limit of a known peer."""
    decoder = FrameDecoder()
    decoder.raise_limit()
    try:
        list(decoder.feed(received))
    except FrameError:
        return


def read_report(body: bytes) -> None:
    """Decode bytes as the JSON of a ``Report``."""
    try:
        decode(body, Report)
    except MessageError:
        return


def measure(call: Callable[[], object]) -> float:
    """Return the longest of ``_REPEATS`` calls in milliseconds."""
    longest_s = 0.0
    for _ in range(_REPEATS):
        started_at = time.perf_counter()
        call()
        longest_s = max(longest_s, time.perf_counter() - started_at)
    return longest_s * _MILLISECONDS


@click.command()
def main() -> None:
    """Print a table of the inputs and milliseconds."""
    bomb_frame = (
        len(_CONTAINER_BOMB).to_bytes(4, 'big') + b'\x0a' + _CONTAINER_BOMB
    )
    chunk = encode_frame(Chunk(body=b'x' * _FRAME_BYTES))
    deep_json = b'[' * _BODY_BYTES
    wide_json = (
        b'{"model":"m","messages":[' + b'{"role":"u"},' * 39_000 + b'{}]}'
    )
    numbers_json = json.dumps({'model': 'm', 'prompt': 'x', 'n': [1] * 170_000})
    applied = Applied(1, make_large_document(2500), 'o', 0, 'n')
    document = encode_applied(applied)
    rows = [
        ('container bomb, 44 B', measure(lambda: decode_frames(bomb_frame))),
        ('frame of 1 MB', measure(lambda: decode_frames(chunk))),
        ('body of 512 kB, deep', measure(lambda: parse_body(deep_json, '/v1/chat/completions'))),
        ('body of 507 kB, 39,000 messages', measure(lambda: parse_body(wide_json, '/v1/chat/completions'))),
        ('body of 510 kB, 170,000 numbers', measure(lambda: parse_body(numbers_json.encode(), '/v1/completions'))),
        ('report of 1 MB, deep', measure(lambda: read_report(b'[' * _FRAME_BYTES))),
        (f'document of {len(document)} B, 2,500 upstreams', measure(lambda: decode_applied(document))),
    ]  # fmt: skip
    table_rows = [(name, f'{duration_ms:.2f}') for name, duration_ms in rows]
    click.echo(format_table(('INPUT', 'LONGEST MS'), table_rows))


if __name__ == '__main__':
    main()
