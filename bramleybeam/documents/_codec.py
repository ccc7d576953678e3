"""Reads documents from TOML, and encodes applied documents as JSON.

The key-value service stores the JSON text of an ``Applied``.
"""

import json
import tomllib
from pathlib import Path
from typing import Any

import attrs
import cattrs
from expression import Error, Ok, Result

from bramleybeam.checks import Problem
from bramleybeam.documents._check import check_document
from bramleybeam.documents._document import Document

_CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
# Decodes faster, but reports only the first problem and not its path.
_QUICK_CONVERTER = cattrs.Converter(
    forbid_extra_keys=True,
    detailed_validation=False,
)


@attrs.frozen
class Applied:
    """A document with its revision, and who applied it when.

    ``nonce`` is unique to each apply, so that a write whose reply was lost
    can be recognised when the value is read back. ``applied_at`` is in
    seconds since the epoch.
    """

    revision: int
    document: Document
    applied_by: str
    applied_at: float
    nonce: str


def decode_document(raw: dict[str, Any]) -> Result[Document, list[Problem]]:
    """Return the checked document of parsed TOML or JSON, or its problems."""
    try:
        document = _CONVERTER.structure(raw, Document)
    except Exception as error:
        return Error(_problems_of(error))
    problems = check_document(document)
    return Error(problems) if problems else Ok(document)


def read_document_file(path: Path) -> Result[Document, list[Problem]]:
    """Return the checked document of a TOML file, or its problems."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = Problem(
            str(path),
            str(error),
            'a readable TOML file',
            'Correct the file and validate it again.',
        )
        return Error([problem])
    return decode_document(raw)


def encode_applied(applied: Applied) -> str:
    """Return the JSON text of an applied document."""
    return json.dumps(_CONVERTER.unstructure(applied), separators=(',', ':'))


def decode_applied(text: str) -> Result[Applied, list[Problem]]:
    """Return the checked document of a JSON text, or its problems."""
    try:
        applied = _QUICK_CONVERTER.structure(json.loads(text), Applied)
    except Exception:
        return Error(_explain_applied(text))
    problems = check_document(applied.document)
    return Error(problems) if problems else Ok(applied)


def _explain_applied(text: str) -> list[Problem]:
    """Decode again with the slower converter, and return every problem."""
    try:
        _CONVERTER.structure(json.loads(text), Applied)
    except Exception as error:
        return _problems_of(error)
    return []


def _problems_of(error: Exception) -> list[Problem]:
    if isinstance(
        error,
        cattrs.BaseValidationError
        | cattrs.errors.StructureHandlerNotFoundError,
    ):
        return [
            Problem(
                'document',
                message,
                'valid according to the settings reference',
                'See docs/operations/settings.md.',
            )
            for message in cattrs.transform_error(error, path='document')
        ]
    return [
        Problem(
            'document',
            str(error),
            'JSON or TOML of a document',
            'Correct the document and validate it again.',
        ),
    ]
