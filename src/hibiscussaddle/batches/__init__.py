"""Batches of items: durable log, owner, reads and scheduling."""
