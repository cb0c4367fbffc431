"""Check histories of short runs with random faults for violations."""
