"""The command line: the module and the console script are the same, and only the chosen role is imported."""

from __future__ import annotations

import ast
import importlib
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.support.gateway import ROOT


def console_script() -> str:
    """The script that an installation generates for the entry point."""
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    module, _, function = scripts["hallproxy"].partition(":")
    return f"import sys\nfrom {module} import {function}\nsys.exit({function}())\n"


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        ([], 1),
        (["plan", "missing.toml"], 1),
        (["apply", "missing.plan"], 1),
        (["relay", "missing.toml"], 1),
        (["repository", "missing.toml"], 1),
        (["relay-status", "nowhere"], 1),
        (["usage", "--team", "a", "--token-file", "missing"], 1),
        (["unknown"], 2),
        (["--help"], 0),
    ],
)
def test_module_and_console_script_give_the_same_output_and_exit_code(
    tmp_path: Path, arguments: list[str], status: int
) -> None:
    environment = {"PYTHONPATH": str(ROOT), "COLUMNS": "100"}
    results = [
        subprocess.run(
            [sys.executable, *program, *arguments],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            text=True,
            timeout=30,
        )
        for program in (["-m", "hallproxy"], ["-c", console_script()])
    ]
    module, script = results
    assert module.returncode == status, module.stderr
    assert "Traceback" not in module.stderr
    assert (module.returncode, module.stdout, module.stderr) == (
        script.returncode,
        script.stdout,
        script.stderr,
    )


def test_the_module_has_the_function_of_the_console_script() -> None:
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    module, _, function = scripts["hallproxy"].partition(":")
    script = getattr(importlib.import_module(module), function)
    assert importlib.import_module("hallproxy.__main__").main is script


def test_run_imports_no_role_that_is_built_on_it() -> None:
    """Neither at module level, nor in a function, nor for type checking only."""
    roles = tuple(f"hallproxy.{name}" for name in ("relay", "repository", "files", "lab", "commands"))
    imported: dict[str, set[str]] = {}
    for path in (ROOT / "hallproxy" / "run").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported.setdefault(path.name, set()).update(alias.name for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                names = {f"{node.module}.{alias.name}" for alias in node.names}
                imported.setdefault(path.name, set()).update(names)
    assert "hallproxy.run.upstream_connections.UpstreamConnections" in imported["gateway.py"]
    assert not [(file, name) for file, names in imported.items() for name in names if name.startswith(roles)]
