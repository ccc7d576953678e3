"""Operators' documents: content, checks, encoding, revision in force."""

from bramleybeam.documents._check import check_document
from bramleybeam.documents._codec import (
    Applied,
    decode_applied,
    decode_document,
    encode_applied,
    read_document_file,
)
from bramleybeam.documents._document import (
    Adapter,
    Deployment,
    Document,
    Model,
    Upstream,
    WorkClass,
)
from bramleybeam.documents._keeper import ConfigurationKeeper

__all__ = [
    'Adapter',
    'Applied',
    'ConfigurationKeeper',
    'Deployment',
    'Document',
    'Model',
    'Upstream',
    'WorkClass',
    'check_document',
    'decode_applied',
    'decode_document',
    'encode_applied',
    'read_document_file',
]
