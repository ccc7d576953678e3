"""Constraints that a parameter can declare, and the check of each."""

import ipaddress
import os
import re
from typing import Any, Final
from urllib.parse import urlsplit

import attrs

# Keys of the metadata of attrs fields.
CONSTRAINT_KEY: Final = 'constraint'
MEANING_KEY: Final = 'meaning'
_NAME_PATTERN: Final = re.compile('[a-zA-Z0-9][a-zA-Z0-9._-]{0,99}')
_MAX_PORT: Final = 65535


@attrs.frozen
class Interval:
    """A number in the closed interval from ``low`` to ``high``, in ``unit``."""

    low: float
    high: float
    unit: str = ''

    def __str__(self) -> str:
        """Return what is allowed, as it completes "must be ..."."""
        return f'a number from {self.low} to {self.high} {self.unit}'.strip()


@attrs.frozen
class OneOf:
    """One of a fixed set of strings."""

    options: tuple[str, ...]

    def __str__(self) -> str:
        """Return what is allowed, as it completes "must be ..."."""
        return 'one of {0}'.format(', '.join(self.options))


@attrs.frozen
class Name:
    """A name of 1 to 100 letters, digits, dots, hyphens and underscores.

    It begins with a letter or a digit.
    """

    optional: bool = False

    def __str__(self) -> str:
        """Return what is allowed, as it completes "must be ..."."""
        suffix = ', or empty' if self.optional else ''
        return f'a name of 1 to 100 letters, digits and ._-{suffix}'


@attrs.frozen
class Address:
    """An ``IP:PORT`` pair; with port 0 the operating system chooses one."""

    def __str__(self) -> str:
        """Return what is allowed, as it completes "must be ..."."""
        return 'IP:PORT with a numeric IP address'


@attrs.frozen
class Url:
    """An HTTP or HTTPS URL whose host is a numeric IP address."""

    optional: bool = False

    def __str__(self) -> str:
        """Return what is allowed, as it completes "must be ..."."""
        suffix = ', or empty' if self.optional else ''
        return f'http://IP:PORT or https://IP:PORT{suffix}'


@attrs.frozen
class File:
    """The path of a readable file; an empty string means no file."""

    def __str__(self) -> str:
        """Return what is allowed, as it completes "must be ..."."""
        return 'a file that can be read, or empty'


Constraint = Interval | OneOf | Name | Address | Url | File


def parameter(
    meaning: str,
    constraint: Constraint | None = None,
    default: Any = attrs.NOTHING,
    **extra: Any,
) -> Any:
    """Return an attrs field that declares its meaning and constraint.

    The meaning appears in the generated settings reference. ``extra`` is
    passed on to ``attrs.field``.

    Example::

        @attrs.frozen
        class Settings:
            period: float = parameter('Time between reports.',
                                      Interval(0.1, 60, 's'), default=1)
    """
    metadata = {CONSTRAINT_KEY: constraint, MEANING_KEY: meaning}
    return attrs.field(default=default, metadata=metadata, **extra)


def is_allowed(constraint: Constraint, candidate: Any) -> bool:
    """Return whether a value satisfies a constraint."""
    match constraint:
        case Interval(low=low, high=high):
            return _is_number(candidate) and low <= candidate <= high
        case OneOf(options=options):
            return candidate in options
        case Name(optional=optional):
            return _is_name(candidate, optional=optional)
        case Address():
            return isinstance(candidate, str) and _is_address(candidate)
        case Url(optional=optional):
            return _is_url(candidate, optional=optional)
        case File():
            return isinstance(candidate, str) and _is_file(candidate)
    raise TypeError(
        f'no check for constraint {constraint!r}; add a case to is_allowed'
    )


def _is_number(candidate: Any) -> bool:
    # bool is a subclass of int, but not a number here.
    is_numeric = isinstance(candidate, int | float)
    return is_numeric and not isinstance(candidate, bool)


def _is_name(candidate: Any, *, optional: bool) -> bool:
    if not isinstance(candidate, str):
        return False
    if not candidate:
        return optional
    return _NAME_PATTERN.fullmatch(candidate) is not None


def _is_address(candidate: str) -> bool:
    host, _, port = candidate.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT


def _is_file(candidate: str) -> bool:
    if not candidate:
        return True
    try:
        return os.access(candidate, os.R_OK)
    except ValueError:
        # The path contains a null byte.
        return False


def _is_url(candidate: Any, *, optional: bool) -> bool:
    """Whether a value is an HTTP URL of an ``IP:PORT``.

    An empty value is valid if the URL is ``optional``.
    """
    if not isinstance(candidate, str):
        return False
    if not candidate:
        return optional
    parts = urlsplit(candidate)
    return parts.scheme in {'http', 'https'} and _is_address(parts.netloc)
