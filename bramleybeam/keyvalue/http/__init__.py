"""HTTP client of the key-value service."""

from bramleybeam.keyvalue.http._client import HttpKeyValue

__all__ = ['HttpKeyValue']
