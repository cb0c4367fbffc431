"""Rollout service between callers, trainers and back ends."""

__version__ = "0.1.0"
