"""Owns the profiles of hypothesis for the test command; never changes what a test checks.

Where ``CI`` is set the examples are derived from each test's name alone (``derandomize``), nothing is read from or
written to the example database, and no example is timed, so that the same tree gives the same verdict on every
run.  Elsewhere the draws are random and there are more of them, so that a developer's runs look further; a
failure found so is kept in ``.hypothesis`` and should go in as an ``@example``.  ``HYPOTHESIS_PROFILE`` names
another profile.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None, print_blob=True,
    suppress_health_check=[HealthCheck.too_slow])
settings.register_profile("dev", max_examples=200, deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE") or ("ci" if os.environ.get("CI") else "dev"))
