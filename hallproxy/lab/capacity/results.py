"""The results file: one JSON object per line, only ever appended to."""

import json
import math
import os
import platform
import subprocess
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from hallproxy.lab.capacity.registry import Measured, Measurement

ROOT = Path(__file__).parents[3]


class ResultsError(ValueError):
    """A results file or line can't be used; the message names the file, the line and the cause."""


@dataclass(frozen=True)
class Result:
    """One measurement of one size. `run` is the start time of the command (UTC) and identifies its lines.

    `failed` is the reason why there are no values, and empty if there are.
    """

    measurement: str
    x: float
    values: Measured
    failed: str
    repeat: int
    seed: int
    tiny: bool
    run: str
    at: str
    load: float
    machine: dict[str, Any]
    version: dict[str, Any]


def machine() -> dict[str, Any]:
    """Processor, memory, kernel and Python version of the machine; nothing that identifies it."""
    cpu = "unknown"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            cpu = line.partition(":")[2].strip()
            break
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20
    cores = len(os.sched_getaffinity(0))
    python = platform.python_version()
    return {"cpu": cpu, "cores": cores, "memory_mb": memory, "kernel": platform.release(), "python": python}


def version() -> dict[str, Any]:
    """The commit, and whether the package's files differ from it; "unknown" outside a clone."""

    def git(*args: str) -> str:
        completed = subprocess.run(["git", *args], cwd=ROOT, capture_output=True, text=True)
        return completed.stdout.strip() if completed.returncode == 0 else "unknown"

    dirty = git("status", "--porcelain", "hallproxy") != ""
    return {"commit": git("rev-parse", "--short=12", "HEAD"), "dirty": dirty}


def append(path: Path, result: Result) -> None:
    fields = asdict(result)
    if result.failed:
        del fields["values"]
    else:
        del fields["failed"]
    with path.open("a", encoding="utf-8") as file:
        file.write(json.dumps(fields) + "\n")


_FIELD_TYPES: dict[str, type | tuple[type, ...]] = {
    "measurement": str, "x": (int, float), "repeat": int, "seed": int, "tiny": bool, "run": str, "at": str,
    "load": (int, float), "machine": dict, "version": dict,
}  # fmt: skip
_MACHINE_FIELDS = {"cpu", "cores", "memory_mb", "kernel", "python"}


def _parse_line(text: str) -> Result:
    """Raises ValueError unless the line is exactly what `append` writes."""
    fields = json.loads(text)
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    outcome_fields = {"values", "failed"} & fields.keys()
    if len(outcome_fields) != 1 or fields.keys() - outcome_fields != _FIELD_TYPES.keys():
        raise ValueError(f"unexpected fields: {', '.join(sorted(fields))}")
    for name, field_type in _FIELD_TYPES.items():
        if not isinstance(fields[name], field_type) or (
            isinstance(fields[name], bool) and field_type is not bool
        ):
            raise ValueError(f"{name} is {fields[name]!r}")
    if fields["machine"].keys() != _MACHINE_FIELDS or fields["version"].keys() != {"commit", "dirty"}:
        raise ValueError("machine or version has missing or unknown fields")
    if not is_figure(fields["x"]) or fields["x"] < 0:
        raise ValueError(f"x is {fields['x']!r}")
    values = fields.setdefault("values", {})
    failed = fields.setdefault("failed", "")
    if not isinstance(values, dict) or not isinstance(failed, str) or bool(values) == bool(failed):
        raise ValueError("exactly one of values and failed must be given")
    for name, value in values.items():
        if value is not None and not is_figure(value):
            raise ValueError(f"{name} is {value!r}")
    return Result(**fields)


def is_figure(value: object) -> bool:
    """Whether the value is a finite number and not a bool."""
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def read(path: Path, tiny: bool = False) -> list[Result]:
    """All lines. Raises ResultsError at the first invalid line, and at a tiny run's line unless `tiny`."""
    results = []
    try:
        lines = path.read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise ResultsError(f"{path}: {error}") from None
    for number, line in enumerate(lines, 1):
        try:
            result = _parse_line(line)
        except (ValueError, TypeError) as error:
            raise ResultsError(f"{path}, line {number}: {error}") from None
        if result.tiny and not tiny:
            raise ResultsError(f"{path}, line {number}: figures of a tiny run are no results")
        results.append(result)
    return results


def latest(results: Iterable[Result], measurement: Measurement) -> list[Result]:
    """The lines of one measurement from the last command that ran it; older lines stay in the file.

    Raises ResultsError if their quantities are not those that the measurement has now.
    """
    matching = [result for result in results if result.measurement == measurement.name]
    last = [result for result in matching if result.run == matching[-1].run]
    names = {quantity.name for quantity in measurement.quantities}
    for result in last:
        if not result.failed and result.values.keys() != names:
            raise ResultsError(f"{measurement.name} at {result.x:g}: quantities {sorted(result.values)}")
    return last
