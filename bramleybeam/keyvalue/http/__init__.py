"""The HTTP adapter of the key-value port."""

from bramleybeam.keyvalue.http._client import HttpKeyValue

__all__ = ['HttpKeyValue']
