"""Runs of the capacity measurements at their tiny sizes."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from hallproxy.lab.capacity import results
from hallproxy.lab.capacity.__main__ import main
from hallproxy.lab.capacity.results import Result


def run_tiny(path: Path, *args: str) -> tuple[int, str, list[Result]]:
    outcome = CliRunner().invoke(main, ["run", "--tiny", "--repeats", "1", "--out", str(path), *args])
    return outcome.exit_code, outcome.output, results.read(path, tiny=True) if path.exists() else []
