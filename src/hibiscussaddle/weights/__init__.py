"""Rollout of weight versions to all engines of the fleet."""
