"""Fixtures and pytest hooks shared by all test modules."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.gateway import Platform
from tests.support.known_red import KnownRed
from tests.support.repository_front import Front, stop_after_test


def pytest_configure(config: pytest.Config) -> None:
    """Expect the failures that KNOWN-RED.txt lists."""
    # A pytest-xdist worker gets its paths as arguments; only its controller knows of a whole-suite run.
    whole_suite = config.args_source is not pytest.Config.ArgsSource.ARGS
    config.pluginmanager.register(KnownRed(config.rootpath / "KNOWN-RED.txt", whole_suite))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the longest module first, so that it doesn't delay the end of a run with several workers."""
    items.sort(key=lambda item: item.path.name != "test_capacity_tiny_run.py")


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    """A repository front with one stand-in upstream, not started yet; stopped after the test."""
    yield from stop_after_test(Front(tmp_path))


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    platform = Platform(tmp_path).start()
    yield platform
    if platform.program.process.poll() is None:
        platform.program.process.kill()
    platform.program.wait()


@pytest.fixture
def start_platform(tmp_path: Path) -> Iterator[Callable[..., Platform]]:
    started: list[Platform] = []

    def start(**options: Any) -> Platform:
        fields = {k: options.pop(k) for k in ("limits", "caches", "change_settings") if k in options}
        started.append(Platform(tmp_path, **fields).start(**options))
        return started[-1]

    yield start
    for platform in started:
        if platform.program.process.poll() is None:
            platform.program.process.kill()
        platform.program.wait()
