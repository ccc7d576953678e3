"""Deterministic answers of the engine stand-in, which tests can recompute."""

from typing import Any, Final

import xxhash

_WORDS: Final = (
    'water', 'permit', 'carter', 'hydrant', 'draw', 'tank', 'plume', 'dye',
    'quill', 'export', 'ferry', 'label', 'stock', 'batch', 'council', 'tap',
)  # fmt: skip
_MIN_TOKENS: Final = 8
_TOKEN_COUNT_RANGE: Final = 40


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt text of a request body for completions or chat."""
    messages = body.get('messages')
    if messages is None:
        return str(body.get('prompt', ''))
    return '\n'.join(
        f'{message.get("role")}: {message.get("content")}'
        for message in messages
    )


def answer_tokens(model: str, prompt: str, max_tokens: int | None) -> list[str]:
    """Return the answer as tokens, each a numbered word and a space.

    Model and prompt determine the answer; ``max_tokens`` truncates it.
    """
    seed = xxhash.xxh64(f'{model}\0{prompt}'.encode()).intdigest()
    length = _MIN_TOKENS + seed % _TOKEN_COUNT_RANGE
    if max_tokens is not None:
        length = min(length, max_tokens)
    return [
        '{0}-{1} '.format(_WORDS[(seed >> (index % 48)) % len(_WORDS)], index)
        for index in range(length)
    ]
