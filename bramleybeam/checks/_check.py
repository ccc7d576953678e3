"""Checks attrs instances against the constraints declared on their fields."""

from collections.abc import Iterator
from typing import Any

import attrs

from bramleybeam.checks._constraints import (
    CONSTRAINT_KEY,
    MEANING_KEY,
    is_allowed,
)


@attrs.frozen
class Problem:
    """One value that is not allowed, with its place and what is allowed."""

    place: str
    found: Any
    allowed: str
    remedy: str = ''

    def __str__(self) -> str:
        """Name the parameter, the value, what is allowed and the remedy."""
        remedy = self.remedy or f'Set {self.place} to {self.allowed}.'
        return (
            f'{self.place} = {self.found!r}: must be {self.allowed}. {remedy}'
        )


@attrs.frozen
class ParameterDescription:
    """One line of the generated settings reference."""

    name: str
    meaning: str
    allowed: str
    default: str


def check_parameters(instance: Any, place: str = '') -> Iterator[Problem]:
    """Yield a problem for each field whose value is not allowed.

    Nested attrs instances, and tuples of them, are checked as well.
    """
    for field in attrs.fields(type(instance)):
        found = getattr(instance, field.name)
        where = f'{place}.{field.name}' if place else field.name
        constraint = field.metadata.get(CONSTRAINT_KEY)
        if constraint is not None and not is_allowed(constraint, found):
            yield Problem(where, found, str(constraint))
        yield from _check_nested(found, where)


def describe(settings_type: type) -> list[ParameterDescription]:
    """Describe each declared field of an attrs class, in order."""
    return [
        ParameterDescription(
            field.name,
            field.metadata.get(MEANING_KEY, ''),
            str(field.metadata.get(CONSTRAINT_KEY) or ''),
            '' if field.default is attrs.NOTHING else repr(field.default),
        )
        for field in attrs.fields(settings_type)
    ]


def _check_nested(found: Any, where: str) -> Iterator[Problem]:
    if attrs.has(type(found)):
        yield from check_parameters(found, where)
    if isinstance(found, tuple):
        for index, element in enumerate(found):
            if attrs.has(type(element)):
                yield from check_parameters(element, f'{where}[{index}]')
