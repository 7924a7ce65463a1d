"""Owns the profiles of hypothesis for the test command, and fixtures that several files use.

It never changes what a test checks.

Where ``CI`` is set the examples are derived from each test's name alone (``derandomize``), nothing is read from or
written to the example database, and no example is timed, so that the same tree gives the same verdict on every
run.  Elsewhere the draws are random and there are more of them, so that a developer's runs look further; a
failure found so is kept in ``.hypothesis`` and should go in as an ``@example``.  ``HYPOTHESIS_PROFILE`` names
another profile.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from gaphub.core import Core

settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None, print_blob=True,
    suppress_health_check=[HealthCheck.too_slow])
settings.register_profile("dev", max_examples=200, deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE") or ("ci" if os.environ.get("CI") else "dev"))


@pytest.fixture
def cores(monkeypatch: pytest.MonkeyPatch) -> list[Core]:
    """The cores of the schedulers that a test starts."""
    found: list[Core] = []
    make = Core.__init__

    def noted(self: Core, *args: Any, **more: Any) -> None:
        make(self, *args, **more)
        found.append(self)

    monkeypatch.setattr(Core, "__init__", noted)
    return found


@pytest.fixture
def own_descriptors() -> Iterator[None]:
    """As many descriptors as may be, for tests whose process holds the ends of a crowd or of many workers."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
