"""Fixtures that many test modules share; pytest finds them here without an import."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.test_repository import Front, serving


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    """A second front with one stand-in upstream, stopped after the test."""
    yield from serving(Front(tmp_path))
