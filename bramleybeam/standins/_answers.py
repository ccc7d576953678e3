"""The stand-in's answer is a function of the request, so tests can compare."""

from typing import Any, Final

import xxhash

_WORDS: Final = (
    'water', 'permit', 'carter', 'hydrant', 'draw', 'tank', 'plume', 'dye',
    'quill', 'export', 'ferry', 'label', 'stock', 'batch', 'council', 'tap',
)  # fmt: skip
_SHORTEST: Final = 8
_LENGTH_SPREAD: Final = 40


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt text of a completions or chat body."""
    messages = body.get('messages')
    if messages is None:
        return str(body.get('prompt', ''))
    return '\n'.join(
        f'{message.get("role")}: {message.get("content")}'
        for message in messages
    )


def answer_tokens(model: str, prompt: str, max_tokens: int | None) -> list[str]:
    """Return the tokens that the stand-in answers, each a word and a space."""
    seed = xxhash.xxh64(f'{model}\0{prompt}'.encode()).intdigest()
    length = _SHORTEST + seed % _LENGTH_SPREAD
    if max_tokens is not None:
        length = min(length, max_tokens)
    return [
        '{0}-{1} '.format(_WORDS[(seed >> (index % 48)) % len(_WORDS)], index)
        for index in range(length)
    ]
