"""The README's example runs as it stands."""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib

import pytest

from tests.gateway import ROOT


def test_the_example_decides(capsys: pytest.CaptureFixture[str]) -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code is not None
    exec(compile(code.group(1), "README.md", "exec"), {})
    said = capsys.readouterr().out
    assert re.fullmatch(r"b'cache-[ab]' fills from b'parent' and keeps at rank [0-3]\n", said)


def test_what_run_and_sim_start_needs_no_library_but_its_own() -> None:
    """`build` installs requirements.txt alone; what the other front needs must not cost the platform."""
    blocked = "pytricia hdrh sortedcontainers cachetools matplotlib click numpy PIL"
    text = (
        f"import sys\nfor name in {blocked!r}.split(): sys.modules[name] = None\n"
        "import hallproxy.run.main, hallproxy.adapter\nfrom hallproxy.state.model import State\n"
    )
    ran = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True)
    assert ran.returncode == 0, ran.stderr


def test_an_installed_hallproxy_has_all_its_packages() -> None:
    named = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    there = {".".join(p.parent.relative_to(ROOT).parts) for p in (ROOT / "hallproxy").rglob("__init__.py")}
    assert sorted(named) == sorted(there)
