"""Clients of external systems and of peer instances."""
