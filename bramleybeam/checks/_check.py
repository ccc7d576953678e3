"""Checks attrs instances against the constraints declared on their fields."""

import functools
from collections.abc import Iterator
from typing import Any

import attrs

from bramleybeam.checks._constraints import (
    CONSTRAINT_KEY,
    MEANING_KEY,
    Constraint,
    is_allowed,
)


@attrs.frozen
class Problem:
    """A value that violates a constraint.

    ``location`` is the dotted path of the parameter, such as
    ``tls.certificate``, or the part of a document that is invalid.
    ``allowed`` completes the sentence "must be ...". Without a ``remedy``,
    the message asks to set the parameter to what is allowed.
    """

    location: str
    value: Any
    allowed: str
    remedy: str = ''

    def __str__(self) -> str:
        """Return the location, the value, what is allowed and the remedy."""
        remedy = self.remedy or f'Set {self.location} to {self.allowed}.'
        return f'{self.location} = {self.value!r}: must be {self.allowed}. {remedy}'


@attrs.frozen
class ParameterDescription:
    """A row of the generated settings reference."""

    name: str
    meaning: str
    allowed: str
    default: str


def check_parameters(instance: Any, location: str = '') -> Iterator[Problem]:
    """Yield a problem for each field whose value violates its constraint.

    Nested attrs instances, and tuples of them, are checked as well, unless
    their field declares a constraint of its own. ``location`` is the path of
    the instance, which prefixes the names of its fields in problems.
    """
    for name, constraint in _list_constraints(instance.__class__):
        value = getattr(instance, name)
        if constraint is None:
            yield from _check_nested(value, _join(location, name))
        elif not is_allowed(constraint, value):
            yield Problem(_join(location, name), value, str(constraint))


def describe_parameters(settings_type: type) -> list[ParameterDescription]:
    """Return a description of each field of an attrs class, in order."""
    return [
        ParameterDescription(
            field.name,
            field.metadata.get(MEANING_KEY, ''),
            str(field.metadata.get(CONSTRAINT_KEY) or ''),
            '' if field.default is attrs.NOTHING else repr(field.default),
        )
        for field in attrs.fields(settings_type)
    ]


# Cached, because the constraints depend on the class only.
@functools.cache
def _list_constraints(
    checked_type: type,
) -> tuple[tuple[str, Constraint | None], ...]:
    return tuple(
        (field.name, field.metadata.get(CONSTRAINT_KEY))
        for field in attrs.fields(checked_type)
    )


def _join(location: str, name: str) -> str:
    return f'{location}.{name}' if location else name


def _check_nested(value: Any, prefix: str) -> Iterator[Problem]:
    if attrs.has(type(value)):
        yield from check_parameters(value, prefix)
    if isinstance(value, tuple):
        for index, element in enumerate(value):
            if attrs.has(type(element)):
                yield from check_parameters(element, f'{prefix}[{index}]')
