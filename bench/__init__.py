"""Measurements on loopback with small fakes."""
