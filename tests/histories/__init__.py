"""Check histories of short runs with random faults against the promises."""

import os

# Other test runs on the same machine use the ports below.
os.environ.setdefault("TEST_FIRST_PORT", "25000")
