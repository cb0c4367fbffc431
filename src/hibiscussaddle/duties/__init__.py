"""Duties that one instance of the fleet holds at a time."""
