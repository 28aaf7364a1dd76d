"""The imports between a package's modules, read from their sources.

Every ``import`` statement counts: at the top, within a function or under ``TYPE_CHECKING``.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ImportGraph = dict[str, set[str]]
"""Each module's name, and the names of the modules of the same package that it imports."""


def import_graph(root: Path, package: str) -> ImportGraph:
    """The import graph of ``package``, a directory in ``root``."""
    paths = {_module_name(path, root): path for path in sorted((root / package).rglob("*.py"))}
    return {name: _imported_modules(name, path, set(paths)) for name, path in paths.items()}


def _module_name(path: Path, root: Path) -> str:
    name = ".".join(path.relative_to(root).with_suffix("").parts)
    return name.removesuffix(".__init__")


def _imported_modules(name: str, path: Path, modules: set[str]) -> set[str]:
    imported: set[str] = set()
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        for target in _targets(node, package):
            while target and target not in modules:
                target = target.rpartition(".")[0]  # an attribute of a module
            imported.add(target)
    return imported - {"", name}


def _targets(node: ast.AST, package: str) -> Iterator[str]:
    """What a statement imports: dotted names of modules or of attributes of modules."""
    if isinstance(node, ast.Import):
        for alias in node.names:
            yield alias.name
    elif isinstance(node, ast.ImportFrom):
        source = node.module or ""
        if node.level:
            ancestors = package.split(".")
            source = ".".join([*ancestors[: len(ancestors) - node.level + 1], *filter(None, [source])])
        for alias in node.names:
            yield f"{source}.{alias.name}"


def cycles(graph: ImportGraph) -> set[frozenset[str]]:
    """The groups of modules that all reach one another (strongly connected components)."""
    reachable = {name: _reachable(graph, name) for name in graph}
    return {
        frozenset(other for other in reachable[name] if name in reachable[other])
        for name in graph
        if name in reachable[name]
    }


def _reachable(graph: ImportGraph, start: str) -> set[str]:
    found: set[str] = set()
    pending = list(graph[start])
    while pending:
        name = pending.pop()
        if name not in found:
            found.add(name)
            pending.extend(graph[name])
    return found
