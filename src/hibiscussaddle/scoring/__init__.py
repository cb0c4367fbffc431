"""Scores of generated texts: the calls, their retries and their limits."""
