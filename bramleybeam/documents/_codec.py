"""Documents from TOML and JSON, and the envelope that the service keeps."""

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
_QUICK_CONVERTER = cattrs.Converter(
    forbid_extra_keys=True,
    detailed_validation=False,
)


@attrs.frozen
class Applied:
    """A document as it was applied: its revision, by whom and when.

    ``nonce`` tells one apply from another, so that a write whose reply was
    lost can be recognised when it is read back. ``applied_at`` is in seconds
    since the epoch.
    """

    revision: int
    document: Document
    applied_by: str
    applied_at: float
    nonce: str


def decode_document(raw: dict[str, Any]) -> Result[Document, list[Problem]]:
    """Build a checked document from plain data."""
    try:
        document = _CONVERTER.structure(raw, Document)
    except Exception as error:
        return Error(_problems_of(error))
    problems = check_document(document)
    return Error(problems) if problems else Ok(document)


def read_document_file(path: Path) -> Result[Document, list[Problem]]:
    """Read and check a TOML document."""
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
    """Encode an applied document as JSON."""
    return json.dumps(_CONVERTER.unstructure(applied), separators=(',', ':'))


def decode_applied(text: str) -> Result[Applied, list[Problem]]:
    """Decode and check an applied document."""
    try:
        applied = _QUICK_CONVERTER.structure(json.loads(text), Applied)
    except Exception:
        return Error(_explain_applied(text))
    problems = check_document(applied.document)
    return Error(problems) if problems else Ok(applied)


def _explain_applied(text: str) -> list[Problem]:
    """Decode again, slowly, to name every problem."""
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
                'as the reference says',
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
