"""Streams of callers: events are passed on as they arrive."""
