"""Constraints: the values that each allows, and the text of problems."""

import attrs
import pytest

from bramleybeam.checks import (
    Address,
    File,
    Interval,
    Name,
    OneOf,
    Url,
    check_parameters,
    describe_parameters,
    parameter,
)
from bramleybeam.checks._constraints import is_allowed

CONSTRAINTS = (
    Interval(0, 1, 's'),
    OneOf(('a', 'b')),
    Name(),
    Address(),
    Url(),
    File(),
)


@pytest.mark.parametrize(
    ('constraint', 'valid', 'invalid'),
    [
        (Interval(0, 10), [0, 10, 2.5], [-1, 11, 'x', True, None]),
        (OneOf(('a', 'b')), ['a'], ['c', '', 3]),
        (Name(), ['a', 'a.b-c_9'], ['', '-a', 'a b', 'x' * 101, 3]),
        (Name(optional=True), ['', 'a'], ['a/b']),
        (Address(), ['127.0.0.1:0', '[::1]:80'], ['host:80', '127.0.0.1', '127.0.0.1:99999', 5]),
        (Url(), ['http://127.0.0.1:1'], ['', 'ftp://127.0.0.1:1', 'http://host:1']),
        (Url(optional=True), [''], ['x']),
        (File(), ['', __file__], ['/nowhere']),
    ],
)  # fmt: skip
def test_constraint_allows_only_valid_values(constraint, valid, invalid):
    """Each constraint accepts the valid values and rejects the others."""
    assert all(is_allowed(constraint, candidate) for candidate in valid)
    assert not any(is_allowed(constraint, candidate) for candidate in invalid)


@pytest.mark.parametrize('constraint', CONSTRAINTS, ids=str)
def test_every_constraint_rejects_a_value_of_another_kind(constraint):
    """Each describes itself, and rejects a text with a null byte."""
    assert str(constraint)
    assert not is_allowed(constraint, '\0nonsense')


@attrs.frozen
class _Inner:
    size: int = parameter('Size.', Interval(1, 5, 'MB'), default=1)


@attrs.frozen
class _Outer:
    name: str = parameter('Name.', Name(), default='a')
    inner: _Inner = attrs.field(factory=_Inner)
    many: tuple[_Inner, ...] = ()


@pytest.mark.parametrize(
    ('instance', 'locations'),
    [
        (_Outer(), []),
        (_Outer(name=''), ['name']),
        (_Outer(inner=_Inner(9)), ['inner.size']),
        (_Outer(many=(_Inner(1), _Inner(9))), ['many[1].size']),
    ],
)
def test_problems_name_their_location(instance, locations):
    """Parameters of nested instances and of tuples are checked as well."""
    problems = list(check_parameters(instance))
    assert [problem.location for problem in problems] == locations
    for problem in problems:
        assert repr(problem.value) in str(problem)
        assert problem.allowed in str(problem)


def test_descriptions_hold_what_the_reference_shows():
    """Name, meaning, allowed values and default of a parameter."""
    (row,) = describe_parameters(_Inner)
    assert (row.name, row.meaning, row.default) == ('size', 'Size.', '1')
    assert 'MB' in row.allowed
