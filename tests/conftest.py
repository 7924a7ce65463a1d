"""Hypothesis profiles for the test command, and fixtures that several test files use.

It must not change what a test checks.

Where ``CI`` is set, the examples are derived from a hash of each test function (``derandomize``), no example
database is read or written, and no example is timed: the same tree gives the same verdict on every run.  Elsewhere
the examples are random and more numerous, so that developers' runs find more; a failure found in this way is kept
in ``.hypothesis`` and should be added as an ``@example``.  ``HYPOTHESIS_PROFILE`` names another profile.
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
    """The cores of all schedulers that the test starts in this process."""
    found: list[Core] = []
    original_init = Core.__init__

    def recording_init(self: Core, *args: Any, **more: Any) -> None:
        original_init(self, *args, **more)
        found.append(self)

    monkeypatch.setattr(Core, "__init__", recording_init)
    return found


@pytest.fixture
def own_descriptors() -> Iterator[None]:
    """Raise the limit on open files to its maximum: the test process holds the ends of many connections."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
