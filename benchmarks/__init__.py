"""Benchmarks; the test suite does not run them."""
