"""Customers' workspaces: who is calling and what callers may use."""
