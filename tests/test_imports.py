"""Imports have no cycles and only go to lower layers; test modules don't import one another."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import pytest

from tests.support.gateway import ROOT
from tests.support.imports import cycles, import_graph

T = TypeVar("T")

LAYERS: tuple[tuple[str, ...], ...] = (
    ("interface",),
    ("decisions",),
    ("hallproxy",),  # the top package's own __init__
    ("broker",),
    ("state",),
    ("wire",),
    ("feed", "routes"),
    ("run", "adapter"),
    ("files", "relay"),
    ("repository",),
    ("commands",),
    ("__main__",),
    ("lab",),
)
"""From the lowest up. A module imports from its own package and lower layers, not from its layer's others."""

# The lists below may only shrink: remove entries that a change has fixed, and add none.
KNOWN_UPWARD: set[tuple[str, str]] = set()
KNOWN_CYCLES: set[frozenset[str]] = set()
KNOWN_TEST_IMPORTS: set[tuple[str, str]] = set()


def layer_of(module: str) -> int:
    parts = module.split(".")
    package = parts[1] if len(parts) > 1 else parts[0]
    return next(height for height, packages in enumerate(LAYERS) if package in packages)


def goes_down(importer: str, imported: str) -> bool:
    same_package = importer.split(".")[:2] == imported.split(".")[:2]
    return same_package or layer_of(imported) < layer_of(importer)


def assert_exactly(found: set[T], known: set[T]) -> None:
    new, fixed = found - known, known - found
    assert not new, f"new: {new}"
    assert not fixed, f"fixed, to be removed from the list: {fixed}"


def is_test_module(module: str) -> bool:
    return module.rpartition(".")[2].startswith("test_")


def test_imports_only_go_to_lower_layers() -> None:
    graph = import_graph(ROOT, "hallproxy")
    upward = {
        (importer, imported)
        for importer, modules in graph.items()
        for imported in modules
        if not goes_down(importer, imported)
    }
    assert_exactly(upward, KNOWN_UPWARD)


def test_modules_have_no_import_cycle() -> None:
    assert_exactly(cycles(import_graph(ROOT, "hallproxy")), KNOWN_CYCLES)


def test_no_test_module_is_imported() -> None:
    graph = import_graph(ROOT, "tests")
    found = {(name, other) for name, modules in graph.items() for other in modules if is_test_module(other)}
    assert_exactly(found, KNOWN_TEST_IMPORTS)


@pytest.mark.parametrize(
    "statement",
    [
        "import top.low",
        "import top.low as name",
        "from top import low",
        "from top.low import name",
        "from . import low",
        "from .low import name",
        "def late():\n    from top.low import name",
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from top.low import name",
        "try:\n    import top.low\nexcept ImportError:\n    pass",
    ],
)
def test_every_form_of_an_import_is_found(tmp_path: Path, statement: str) -> None:
    (tmp_path / "top").mkdir()
    (tmp_path / "top" / "__init__.py").write_text("")
    (tmp_path / "top" / "low.py").write_text("import json, top.high\nname = 1\n")
    (tmp_path / "top" / "high.py").write_text(statement)
    graph = import_graph(tmp_path, "top")
    assert graph == {"top": set(), "top.low": {"top.high"}, "top.high": {"top.low"}}
    assert cycles(graph) == {frozenset({"top.low", "top.high"})}


def test_a_chain_is_no_cycle_and_two_cycles_are_distinguished() -> None:
    chain = {"a": {"b"}, "b": {"c"}, "c": set[str]()}
    assert cycles(chain) == set()
    assert cycles(chain | {"c": {"b"}, "d": {"e"}, "e": {"d", "a"}}) == {
        frozenset({"b", "c"}),
        frozenset({"d", "e"}),
    }


@pytest.mark.parametrize(
    ("importer", "imported", "down"),
    [
        ("hallproxy.run.serve", "hallproxy.state.model", True),
        ("hallproxy.run.serve", "hallproxy.run.effect_runner", True),
        ("hallproxy.state.model", "hallproxy.files.part", False),
        ("hallproxy.adapter", "hallproxy.run.effect_runner", False),
        ("hallproxy.relay.serve", "hallproxy.files.disk", False),
        ("hallproxy.broker.broker", "hallproxy.interface", True),
        ("hallproxy.interface", "hallproxy.decisions", False),
    ],
)
def test_an_import_may_go_to_a_lower_layer_or_the_same_package(
    importer: str, imported: str, down: bool
) -> None:
    assert goes_down(importer, imported) is down
