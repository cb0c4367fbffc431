"""Bounds for what callers make an instance hold."""
