"""Measurements; none of them is part of the tests."""
