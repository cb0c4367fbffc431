"""Decide whether the lifetime of an endpoint has ended."""
