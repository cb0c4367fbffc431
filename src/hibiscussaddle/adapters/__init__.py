"""Thin clients of the outside systems and the peers."""
