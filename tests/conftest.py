"""What many test modules share; pytest finds it here without an import."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.known_red import KnownRed
from tests.test_repository import Front, serving


def pytest_configure(config: pytest.Config) -> None:
    asked = config.args_source is not pytest.Config.ArgsSource.ARGS and not config.option.keyword
    config.pluginmanager.register(KnownRed(config.rootpath / "KNOWN-RED.txt", whole=asked))


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    """A second front with one stand-in upstream, stopped after the test."""
    yield from serving(Front(tmp_path))
