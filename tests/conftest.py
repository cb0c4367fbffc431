"""Set the hypothesis profiles."""

import os

import hypothesis

# Derandomized, so that every run in CI tries the same examples.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.register_profile("dev", deadline=None, print_blob=True)
hypothesis.settings.load_profile("ci" if os.environ.get("CI") else "dev")
