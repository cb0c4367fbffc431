"""Scores of generated texts: calls, retries and concurrency limits."""
