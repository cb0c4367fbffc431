"""Check histories of short runs with random faults against the promises."""
