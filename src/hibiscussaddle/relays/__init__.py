"""Attempts that travel through another instance."""
