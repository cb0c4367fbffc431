"""Fakes of the external systems for tests, the demo and the benchmarks."""
