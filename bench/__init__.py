"""Benchmarks of the decisions against a plain baseline."""
