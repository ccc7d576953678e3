"""Constraints: what each allows, and what a problem says."""

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
    describe,
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
    ('constraint', 'good', 'bad'),
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
def test_what_is_allowed(constraint, good, bad):
    """Each constraint takes the good and refuses the bad."""
    assert all(is_allowed(constraint, one) for one in good)
    assert not any(is_allowed(constraint, one) for one in bad)


@pytest.mark.parametrize('constraint', CONSTRAINTS, ids=str)
def test_every_constraint_refuses_what_is_no_value_of_its_kind(constraint):
    """Common to all: they say what is allowed, and refuse an odd text."""
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
    ('instance', 'places'),
    [
        (_Outer(), []),
        (_Outer(name=''), ['name']),
        (_Outer(inner=_Inner(9)), ['inner.size']),
        (_Outer(many=(_Inner(1), _Inner(9))), ['many[1].size']),
    ],
)
def test_problems_name_their_place(instance, places):
    """Nested parameters are checked as well."""
    problems = list(check_parameters(instance))
    assert [problem.place for problem in problems] == places
    for problem in problems:
        assert repr(problem.found) in str(problem)
        assert problem.allowed in str(problem)


def test_the_reference_describes_each_parameter():
    """Name, meaning, what is allowed and the default."""
    (one,) = describe(_Inner)
    assert (one.name, one.meaning, one.default) == ('size', 'Size.', '1')
    assert 'MB' in one.allowed
